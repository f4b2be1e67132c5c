import * as crashCounts from "./crash_counts.ts";

/** Runners' ends that are remembered, at most. */
const MOST_ENDS = 4_000;
/** Requests remembered for all ends together, at most. */
const MOST_SUSPICIONS = 20_000;
/** Requests held at once, at most. */
const MOST_HELD = 1_000;
/** Time for which a runner's end is remembered, in milliseconds: a day. */
const REMEMBERED_MILLISECONDS = 24 * 3_600_000;

/** A request that was under way when a runner ended. */
export interface Suspicion {
  fingerprint: string;
  /** When it was sent there, by this process's clock. */
  startedAt: number;
  /** A whole answer or an operator spoke for it since. */
  cleared: boolean;
}

/** A runner's end and the requests that were under way there, as one entry tells it. */
export interface CrashReport {
  /** Names one life of the runner. */
  life: string;
  runner: string;
  service: string;
  /** Version of its software; empty if it is not known. */
  version: string;
  /** By this process's clock. */
  endedAt: number;
  /** Entries that saw it. */
  seenBy: string[];
  /** The runner was heard again: it had not ended. */
  disproved: boolean;
  suspicions: Suspicion[];
}

/** What a report changed. */
export interface LedgerChange {
  /** Whether anything in it was news. */
  hasNewFacts: boolean;
  /** Requests that are held from now on. */
  quarantined: string[];
  /** Requests that stay held, of which more is known now. */
  stillQuarantined: string[];
  /** Requests that are held no more. */
  released: string[];
}

interface RecordedSuspicion {
  startedAt: number;
  cleared: boolean;
}

interface RecordedCrash extends Omit<CrashReport, "seenBy" | "suspicions"> {
  seenBy: Set<string>;
  suspicions: Map<string, RecordedSuspicion>;
}

/** An end with the run of one request there. */
export interface CrashUnderRequest extends crashCounts.CrashedRun {
  runner: string;
  version: string;
  seenBy: string[];
}

/**
 * Ends of runners, as all entries report them, and the requests that were under way at
 * each. Reports are merged as sets: a report may come twice, by several ways and in any
 * order, and each runner's end counts once, whoever saw it. What is held for good
 * reason stays when a flood of other suspects comes.
 */
export class SuspectLedger {
  readonly #ends = new Map<string, RecordedCrash>();
  readonly #endsOf = new Map<string, Set<RecordedCrash>>();
  /** Requests that are proved to end their runners. */
  readonly #held = new Set<string>();
  #suspicions = 0;

  /** Requests that are held. */
  get quarantined(): ReadonlySet<string> {
    return this.#held;
  }

  /** Whether any request is under suspicion. */
  get isEmpty(): boolean {
    return this.#endsOf.size === 0;
  }

  /** Numbers for the state dump. */
  get size(): { ends: number; suspects: number; suspicions: number } {
    return {
      ends: this.#ends.size,
      suspects: this.#endsOf.size,
      suspicions: this.#suspicions,
    };
  }

  /** When a life of a runner ended, if it is known to have. */
  crashTimeOf(life: string): number | undefined {
    const end = this.#ends.get(life);
    return end && !end.disproved ? end.endedAt : undefined;
  }

  /** Ends under which a request was under way, and for which nothing cleared it. */
  crashesUnder(fingerprint: string): CrashUnderRequest[] {
    const ends: CrashUnderRequest[] = [];
    for (const end of this.#endsOf.get(fingerprint) ?? []) {
      const suspicion = end.suspicions.get(fingerprint);
      if (end.disproved || !suspicion || suspicion.cleared) continue;
      const { runner, version, endedAt, seenBy } = end;
      const { startedAt } = suspicion;
      ends.push({ runner, version, startedAt, endedAt, seenBy: [...seenBy] });
    }
    return ends.sort((left, right) => left.endedAt - right.endedAt);
  }

  /** Service whose runners ended under a request. */
  serviceOf(fingerprint: string): string {
    const [first] = this.#endsOf.get(fingerprint) ?? [];
    return first?.service ?? "";
  }

  /** What is known of one life's end, but for the requests. */
  reportOf(life: string): CrashReport | undefined {
    const end = this.#ends.get(life);
    return end && { ...end, seenBy: [...end.seenBy], suspicions: [] };
  }

  /** Ends that are not disproved, from `earliest` to `latest`. */
  crashedIncarnations(earliest: number, latest: number): string[] {
    return [...this.#ends.values()]
      .filter(({ disproved }) => !disproved)
      .filter(({ endedAt }) => endedAt >= earliest && endedAt <= latest)
      .map(({ life }) => life);
  }

  /** Reports that tell all that is known of a request. */
  reportsOn(fingerprint: string): CrashReport[] {
    const ends = this.#endsOf.get(fingerprint) ?? [];
    return [...ends].map((end) => reportOf(end, fingerprint));
  }

  /** Reports of requests that were under way at the most ends, and at the latest. */
  mostSuspected(mostSuspicions: number): CrashReport[] {
    const pairs = [...this.#endsOf].flatMap(([fingerprint, ends]) =>
      [...ends].map((end) => ({ fingerprint, end, weight: ends.size })),
    );
    pairs.sort(
      (left, right) =>
        right.weight - left.weight || right.end.endedAt - left.end.endedAt,
    );
    const told = new Map<RecordedCrash, CrashReport>();
    for (const { fingerprint, end } of pairs.slice(0, mostSuspicions)) {
      const one = reportOf(end, fingerprint);
      const known = told.get(end);
      if (known) known.suspicions.push(...one.suspicions);
      else told.set(end, one);
    }
    return [...told.values()];
  }

  /**
   * Takes reports, of this entry or of another, and what the other holds: clocks differ,
   * and all entries are to do the same.
   */
  merge(
    reports: CrashReport[],
    now: number,
    heldElsewhere: string[] = [],
  ): LedgerChange {
    const change: LedgerChange = {
      hasNewFacts: false,
      quarantined: [],
      stillQuarantined: [],
      released: [],
    };
    const wanted = new Set(heldElsewhere);
    const touched = new Set<string>();
    for (const report of reports) {
      if (!isRemembered(report, now, wanted)) continue;
      for (const fingerprint of this.#take(report)) touched.add(fingerprint);
    }
    change.hasNewFacts = touched.size > 0;
    for (const fingerprint of touched) this.#judge(fingerprint, change);
    for (const fingerprint of wanted) this.#holdToo(fingerprint, change);
    this.#forget(now);
    return change;
  }

  /** Takes one report; the requests of which it says anything new. */
  #take(report: CrashReport): Set<string> {
    const touched = new Set<string>();
    const end = this.#ends.get(report.life) ?? this.#record(report);
    if (report.disproved && !end.disproved) {
      end.disproved = true;
      for (const fingerprint of end.suspicions.keys()) touched.add(fingerprint);
    }
    end.endedAt = Math.min(end.endedAt, report.endedAt);
    for (const host of report.seenBy) end.seenBy.add(host);
    for (const suspicion of report.suspicions) {
      if (this.#suspect(end, suspicion)) touched.add(suspicion.fingerprint);
    }
    return touched;
  }

  #record(report: CrashReport): RecordedCrash {
    const end: RecordedCrash = {
      ...report,
      disproved: false,
      seenBy: new Set(),
      suspicions: new Map(),
    };
    this.#ends.set(report.life, end);
    return end;
  }

  /** Notes a request under way at an end; whether that is news. */
  #suspect(end: RecordedCrash, suspicion: Suspicion): boolean {
    const { fingerprint, startedAt, cleared } = suspicion;
    const known = end.suspicions.get(fingerprint);
    if (!known) {
      end.suspicions.set(fingerprint, { startedAt, cleared });
      const ends = this.#endsOf.get(fingerprint) ?? new Set();
      this.#endsOf.set(fingerprint, ends.add(end));
      this.#suspicions++;
      return true;
    }
    known.startedAt = Math.min(known.startedAt, startedAt);
    if (known.cleared || !cleared) return false;
    known.cleared = true;
    return true;
  }

  #judge(fingerprint: string, change: LedgerChange): void {
    const ends = this.crashesUnder(fingerprint);
    if (this.#held.has(fingerprint)) {
      const stays = ends.length >= crashCounts.QUARANTINE_THRESHOLD.crashes;
      if (!stays) this.#held.delete(fingerprint);
      const where = stays ? change.stillQuarantined : change.released;
      where.push(fingerprint);
      return;
    }
    if (!crashCounts.reachesThreshold(crashCounts.countCrashes(ends))) return;
    this.#holdNow(fingerprint, change);
  }

  #holdToo(fingerprint: string, change: LedgerChange): void {
    if (this.#held.has(fingerprint)) return;
    if (
      this.crashesUnder(fingerprint).length <
      crashCounts.QUARANTINE_THRESHOLD.crashes
    )
      return;
    this.#holdNow(fingerprint, change);
  }

  /** Holds a request; if there are too many, the one that nobody sent for longest goes. */
  #holdNow(fingerprint: string, change: LedgerChange): void {
    this.#held.add(fingerprint);
    const pushedOut = this.#heldTooMany();
    if (pushedOut !== undefined) this.#held.delete(pushedOut);
    if (pushedOut === fingerprint) return;
    change.quarantined.push(fingerprint);
    if (pushedOut !== undefined) change.released.push(pushedOut);
  }

  #heldTooMany(): string | undefined {
    if (this.#held.size <= MOST_HELD) return undefined;
    const lastEnds = [...this.#held].map((fingerprint) => {
      const endedAt =
        this.crashesUnder(fingerprint).at(-1)?.endedAt ?? -Infinity;
      return { fingerprint, endedAt };
    });
    lastEnds.sort((left, right) => left.endedAt - right.endedAt);
    return lastEnds[0].fingerprint;
  }

  /** Keeps to the bounds: what is old goes, then what was seen once, oldest first. */
  #forget(now: number): void {
    const oldest = now - REMEMBERED_MILLISECONDS;
    for (const end of this.#ends.values()) {
      const full = this.#ends.size > MOST_ENDS;
      if (end.endedAt >= oldest && !full) break;
      this.#dropSuspicions(end, (fingerprint) => !this.#held.has(fingerprint));
      if (end.suspicions.size === 0) this.#ends.delete(end.life);
    }
    if (this.#suspicions <= MOST_SUSPICIONS) return;
    this.#makeRoom((fingerprint) => this.#endsOf.get(fingerprint)?.size === 1);
    this.#makeRoom((fingerprint) => !this.#held.has(fingerprint));
  }

  #makeRoom(mayGo: (fingerprint: string) => boolean): void {
    for (const end of this.#ends.values()) {
      if (this.#suspicions <= MOST_SUSPICIONS) return;
      this.#dropSuspicions(end, mayGo);
    }
  }

  #dropSuspicions(
    end: RecordedCrash,
    mayGo: (fingerprint: string) => boolean,
  ): void {
    for (const fingerprint of end.suspicions.keys()) {
      if (!mayGo(fingerprint)) continue;
      end.suspicions.delete(fingerprint);
      this.#suspicions--;
      const ends = this.#endsOf.get(fingerprint);
      ends?.delete(end);
      if (ends?.size === 0) this.#endsOf.delete(fingerprint);
    }
  }
}

/** Whether a report is young enough, or speaks against a request that is held. */
function isRemembered(
  { endedAt, suspicions }: CrashReport,
  now: number,
  held: ReadonlySet<string>,
): boolean {
  if (endedAt >= now - REMEMBERED_MILLISECONDS) return true;
  return suspicions.some(({ fingerprint }) => held.has(fingerprint));
}

/** What is known of one request at an end. */
function reportOf(end: RecordedCrash, fingerprint: string): CrashReport {
  const known = end.suspicions.get(fingerprint);
  const suspicions = known ? [{ fingerprint, ...known }] : [];
  return { ...end, seenBy: [...end.seenBy], suspicions };
}
