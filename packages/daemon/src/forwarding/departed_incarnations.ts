import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";

/** Time for which a life that left is remembered, in milliseconds. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * Lives of runners that were listed as leaving. A list that is made of older rows says
 * that they are ready: a runner that is about to end would be sent new requests.
 */
export class DepartedIncarnations {
  readonly #lastListedAt = new Map<string, number>();

  /** The runners of a list, leaving if they ever were. */
  apply(runners: readonly traffic.RunnerEntry[]): traffic.RunnerEntry[] {
    const now = common.now();
    const applied = runners.map((runner) => this.#applyTo(runner, now));
    for (const [incarnation, lastListedAt] of this.#lastListedAt) {
      if (now - lastListedAt > RETENTION_MILLISECONDS)
        this.#lastListedAt.delete(incarnation);
    }
    return applied;
  }

  #applyTo(runner: traffic.RunnerEntry, now: number): traffic.RunnerEntry {
    const incarnation = traffic.lifeOf(runner);
    if (runner.leaving) {
      this.#lastListedAt.set(incarnation, now);
      return runner;
    }
    if (!this.#lastListedAt.has(incarnation)) return runner;
    return { ...runner, leaving: true };
  }
}
