import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";

/** How long an incarnation is remembered after a list showed it as leaving. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * Remembers the incarnations of runners that a runner list showed as leaving,
 * until `RETENTION_MILLISECONDS` after the last such list. A leaving runner
 * still runs, but stops soon. A later list may be made from older rows of the
 * runners and show it as ready. Without this record the runner would then get
 * new requests shortly before it stops.
 */
export class DepartedIncarnations {
  readonly #lastListedLeavingAt = new Map<string, number>();

  /**
   * Returns the runners of a list, each marked as leaving if its incarnation is
   * remembered as leaving. Remembers those that the list shows as leaving, and
   * forgets those whose retention is over.
   */
  markLeaving(runners: readonly traffic.RunnerEntry[]): traffic.RunnerEntry[] {
    const now = common.now();
    const marked = runners.map((runner) => this.#markRunner(runner, now));
    for (const [incarnation, lastListedLeavingAt] of this
      .#lastListedLeavingAt) {
      if (now - lastListedLeavingAt > RETENTION_MILLISECONDS)
        this.#lastListedLeavingAt.delete(incarnation);
    }
    return marked;
  }

  #markRunner(runner: traffic.RunnerEntry, now: number): traffic.RunnerEntry {
    const incarnation = traffic.incarnationOf(runner);
    if (runner.leaving) {
      this.#lastListedLeavingAt.set(incarnation, now);
      return runner;
    }
    if (!this.#lastListedLeavingAt.has(incarnation)) return runner;
    return { ...runner, leaving: true };
  }
}
