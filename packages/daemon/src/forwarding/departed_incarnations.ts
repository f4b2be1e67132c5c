import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";

/** How long an incarnation is remembered after a list showed it as leaving. */
const RETENTION_MILLISECONDS = 60_000;

/** Why a runner counts as leaving, and since when it is to be forgotten. */
interface Departure {
  /**
   * When a list last showed the runner as leaving or, if the runner said so
   * itself, when a list last contained it.
   */
  lastSeenAt: number;
  /** Whether the runner said so itself, in an answer. */
  announced: boolean;
}

/**
 * Remembers the incarnations of runners that a runner list showed as leaving,
 * until `RETENTION_MILLISECONDS` after the last such list, and those that said
 * so themselves for as long as they are listed and that time more. A leaving
 * runner still runs, but stops soon. A later list may be made from older rows of
 * the runners and show it as ready. Without this record the runner would then
 * get new requests shortly before it stops.
 */
export class DepartedIncarnations {
  readonly #departures = new Map<string, Departure>();

  /**
   * Notes that a runner said in an answer that it is leaving; returns whether
   * that is new.
   */
  announce(runner: traffic.RunnerEntry): boolean {
    const incarnation = traffic.incarnationOf(runner);
    const isNew = !this.#departures.get(incarnation)?.announced;
    const lastSeenAt = common.now();
    this.#departures.set(incarnation, { lastSeenAt, announced: true });
    return isNew;
  }

  /**
   * Returns the runners of a list, each marked as leaving if its incarnation is
   * remembered as leaving. Remembers those that the list shows as leaving, and
   * forgets those whose retention is over.
   */
  markLeaving(runners: readonly traffic.RunnerEntry[]): traffic.RunnerEntry[] {
    const now = common.now();
    const marked = runners.map((runner) => this.#markRunner(runner, now));
    for (const [incarnation, { lastSeenAt }] of this.#departures) {
      if (now - lastSeenAt > RETENTION_MILLISECONDS)
        this.#departures.delete(incarnation);
    }
    return marked;
  }

  #markRunner(runner: traffic.RunnerEntry, now: number): traffic.RunnerEntry {
    const incarnation = traffic.incarnationOf(runner);
    const known = this.#departures.get(incarnation);
    const announced = known?.announced ?? false;
    if (runner.leaving || announced)
      this.#departures.set(incarnation, { lastSeenAt: now, announced });
    if (runner.leaving || !known) return runner;
    return { ...runner, leaving: true };
  }
}
