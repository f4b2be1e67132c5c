import * as runnerEntry from "./runner_entry.ts";

/**
 * Time after the table service is back within which runners that live and reach it have
 * registered again, in milliseconds. One that is still missing then is gone.
 */
export const BACK_WITHIN_MILLISECONDS = 2_000;
/** Age, in milliseconds, that a copy of the table may have at most, with room. */
const REMEMBERED_MILLISECONDS = 60_000;

/** A runner's registration in the table service. */
export interface Registration {
  runner: runnerEntry.RunnerEntry;
  /** Counts what the runner has written since its start. */
  sequence: number;
  /** Number of the write within the table's epoch. */
  writtenAt: number;
  /** Time that the runner still needed to warm up as it wrote; 0 if it was warm. */
  warmUpMilliseconds: number;
}

/** A life of a runner that is listed. */
interface ListedLife {
  registration: Registration;
  /** When it is gone unless it is written again; `undefined` while it is in the table. */
  keptUntil: number | undefined;
  /** When its time to warm up is over, counted from when the row was read. */
  warmUpEndsAt: number;
}

/** A life of a runner that is gone. */
interface PastLife {
  sequence: number;
  goneAt: number;
}

/**
 * Which runners are there, by what a table tells that may be away and come back with
 * fewer rows, or with old ones. For the seconds after an outage: entries that lapsed
 * meanwhile are written again, and those of runners that are gone may stand in a copy.
 */
export class RegisteredRunners {
  readonly #listed = new Map<string, ListedLife>();
  readonly #past = new Map<string, PastLife>();

  /**
   * Takes all rows, by identifier. `keepUntil`: until when rows that are missing may
   * be written again; `undefined` if the table served while they were removed.
   */
  replaceAll(
    registrations: ReadonlyMap<string, Registration>,
    { now, keepUntil }: { now: number; keepUntil?: number },
  ): void {
    for (const identifier of [...this.#listed.keys()]) {
      if (registrations.has(identifier)) continue;
      this.remove(identifier, { now, keepUntil });
    }
    for (const [identifier, registration] of registrations) {
      if (!this.#isOfPast(registration))
        this.write(identifier, registration, now);
    }
    this.#forget(now);
  }

  /** Takes a row that was written. */
  write(identifier: string, registration: Registration, now: number): void {
    const { warmUpMilliseconds } = registration;
    const known = this.#listed.get(identifier);
    // A row that is read again does not begin its time to warm up anew.
    const warmUpEndsAt =
      known && isSameWrite(known.registration, registration)
        ? known.warmUpEndsAt
        : now + warmUpMilliseconds;
    const keptUntil = undefined;
    this.#listed.set(identifier, { registration, keptUntil, warmUpEndsAt });
  }

  /** Takes that a row is gone. `keepUntil`: as in `replaceAll`. */
  remove(
    identifier: string,
    { now, keepUntil = now }: { now: number; keepUntil?: number },
  ): void {
    const listed = this.#listed.get(identifier);
    if (!listed) return;
    listed.keptUntil ??= keepUntil;
    if (listed.keptUntil <= now) this.#end(identifier, listed, now);
  }

  /** When the first of the runners that are kept without a row is gone. */
  get keptUntil(): number | undefined {
    const times = [...this.#listed.values()].flatMap(
      ({ keptUntil }) => keptUntil ?? [],
    );
    return times.length > 0 ? Math.min(...times) : undefined;
  }

  /** Registrations that count now; one a place, the latest. */
  current(now: number): runnerEntry.RunnerEntry[] {
    const byPlace = new Map<string, ListedLife>();
    for (const [identifier, listed] of this.#listed) {
      const { keptUntil = Infinity } = listed;
      if (keptUntil <= now) {
        this.#end(identifier, listed, now);
        continue;
      }
      const place = runnerEntry.placeOf(listed.registration.runner);
      const other = byPlace.get(place);
      if (!other || isLater(listed, other)) byPlace.set(place, listed);
    }
    return [...byPlace.values()].map(({ registration, warmUpEndsAt }) => ({
      ...registration.runner,
      warmingUp: now < warmUpEndsAt,
    }));
  }

  #end(identifier: string, listed: ListedLife, now: number): void {
    const { runner, sequence } = listed.registration;
    this.#listed.delete(identifier);
    this.#past.set(runnerEntry.incarnationOf(runner), {
      sequence,
      goneAt: now,
    });
  }

  /** Whether a row tells no more than was known of a runner that is gone since. */
  #isOfPast({ runner, sequence }: Registration): boolean {
    const past = this.#past.get(runnerEntry.incarnationOf(runner));
    return past !== undefined && sequence <= past.sequence;
  }

  #forget(now: number): void {
    for (const [life, { goneAt }] of this.#past) {
      if (now - goneAt > REMEMBERED_MILLISECONDS) this.#past.delete(life);
    }
  }
}

/**
 * Of two runners at one place. One that died stays registered for seconds after its
 * successor is there, and a row may be written late, so the runners' own starts go
 * first. One that is missing in the table goes behind one that is there.
 */
function isLater(left: ListedLife, right: ListedLife): boolean {
  const { runner, writtenAt } = left.registration;
  const other = right.registration;
  const { bornAt } = runner;
  const otherBornAt = other.runner.bornAt;
  if (bornAt > 0 && otherBornAt > 0 && bornAt !== otherBornAt) {
    return bornAt > otherBornAt;
  }
  const isHere = left.keptUntil === undefined;
  if (isHere !== (right.keptUntil === undefined)) return isHere;
  return writtenAt > other.writtenAt;
}

/** Whether two readings of a row stem from one write of one life of a runner. */
function isSameWrite(left: Registration, right: Registration): boolean {
  return (
    left.sequence === right.sequence &&
    left.writtenAt === right.writtenAt &&
    runnerEntry.incarnationOf(left.runner) ===
      runnerEntry.incarnationOf(right.runner)
  );
}
