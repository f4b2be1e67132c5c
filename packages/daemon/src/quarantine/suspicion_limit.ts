import * as common from "@geraniumkeel/common";
import type * as runnerCrash from "./runner_crash.ts";

/** Requests that an entry puts under suspicion in a second, at most. */
const MOST_SUSPECTED = 500;
const SECOND_MILLISECONDS = 1_000;

/**
 * Bounds what an entry tells of: when all hosts are lost at once, each request of a
 * moment is under way somewhere.
 */
export class SuspicionLimit {
  #since = -Infinity;
  #suspected = 0;

  /** As many of the runs as may be told of now, those of most weight first. */
  receive(
    runs: runnerCrash.InterruptedRun[],
    weightOf: (fingerprint: string) => number,
  ): runnerCrash.InterruptedRun[] {
    const now = common.now();
    if (now - this.#since > SECOND_MILLISECONDS) {
      this.#since = now;
      this.#suspected = 0;
    }
    const taken = runs
      .map((run) => ({ run, weight: weightOf(run.fingerprint) }))
      .sort((left, right) => right.weight - left.weight)
      .slice(0, MOST_SUSPECTED - this.#suspected);
    this.#suspected += taken.length;
    return taken.map(({ run }) => run);
  }
}
