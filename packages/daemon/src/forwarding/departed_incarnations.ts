import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";

/** How long a departed incarnation is remembered. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * Incarnations of runners that were once listed as leaving. A list made from
 * older rows says that such a runner is ready; without this record it would get
 * new requests shortly before it stops.
 */
export class DepartedIncarnations {
  readonly #lastListedLeavingAt = new Map<string, number>();

  /**
   * Returns the runners of a list, each marked as leaving if its incarnation
   * was ever listed as leaving.
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
