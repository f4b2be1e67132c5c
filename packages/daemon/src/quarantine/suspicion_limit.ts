import * as common from "@geraniumkeel/common";
import type * as runnerCrash from "./runner_crash.ts";

/**
 * Largest number of runs that an entry records and reports as suspicions in one
 * window.
 */
const MAX_SUSPICIONS_PER_WINDOW = 500;
const WINDOW_MILLISECONDS = 1_000;

/**
 * Limits how many suspicions an entry records and reports to the others for the
 * crashes that interrupt its own runs. The entry drops the suspicions above the
 * limit. When all hosts fail at once, every request under way is interrupted by
 * a crash.
 */
export class SuspicionLimit {
  #windowStart = -Infinity;
  #selectedInWindow = 0;

  /**
   * Returns as many of the runs as may be reported now and counts them against
   * the limit. The runs are in descending order of the number of crashes during
   * runs of their request.
   */
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
