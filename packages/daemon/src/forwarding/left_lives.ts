import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";

/** Time for which a life that left is remembered, in milliseconds. */
const REMEMBERED_MILLISECONDS = 60_000;

/**
 * Lives of runners that were listed as leaving. A list that is made of older rows says
 * that they are ready: a runner that is about to end would be sent new requests.
 */
export class LeftLives {
  readonly #seenAt = new Map<string, number>();

  /** The runners of a list, leaving if they ever were. */
  apply(runners: readonly traffic.RunnerEntry[]): traffic.RunnerEntry[] {
    const now = common.now();
    const applied = runners.map((runner) => this.#applyTo(runner, now));
    for (const [life, seenAt] of this.#seenAt) {
      if (now - seenAt > REMEMBERED_MILLISECONDS) this.#seenAt.delete(life);
    }
    return applied;
  }

  #applyTo(runner: traffic.RunnerEntry, now: number): traffic.RunnerEntry {
    const life = traffic.incarnationOf(runner);
    if (runner.leaving) {
      this.#seenAt.set(life, now);
      return runner;
    }
    if (!this.#seenAt.has(life)) return runner;
    return { ...runner, leaving: true };
  }
}
