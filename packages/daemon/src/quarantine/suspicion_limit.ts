import * as common from "@geraniumkeel/common";
import type * as runnerCrash from "./runner_crash.ts";

/** Requests that an entry puts under suspicion in a second, at most. */
const MAX_SUSPICIONS_PER_WINDOW = 500;
const WINDOW_MILLISECONDS = 1_000;

/**
 * Bounds what an entry tells of: when all hosts are lost at once, each request of a
 * moment is under way somewhere.
 */
export class SuspicionLimit {
  #windowStart = -Infinity;
  #selectedInWindow = 0;

  /** As many of the runs as may be told of now, those of most weight first. */
  selectRuns(
    runs: runnerCrash.InterruptedRun[],
    crashCountOf: (fingerprint: string) => number,
  ): runnerCrash.InterruptedRun[] {
    const now = common.now();
    if (now - this.#windowStart > WINDOW_MILLISECONDS) {
      this.#windowStart = now;
      this.#selectedInWindow = 0;
    }
    const selected = runs
      .map((run) => ({ run, crashCount: crashCountOf(run.fingerprint) }))
      .sort((left, right) => right.crashCount - left.crashCount)
      .slice(0, MAX_SUSPICIONS_PER_WINDOW - this.#selectedInWindow);
    this.#selectedInWindow += selected.length;
    return selected.map(({ run }) => run);
  }
}
