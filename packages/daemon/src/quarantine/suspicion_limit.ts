import * as common from "@geraniumkeel/common";
import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Largest number of suspicions that an entry records and reports in one window.
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
   * Returns as many of the suspicions as may be reported now and counts them
   * against the limit, in descending order of the number of crashes that are
   * held against the request or part.
   */
  select(
    suspicions: suspectLedger.Suspicion[],
    crashCountOf: (fingerprint: string) => number,
  ): suspectLedger.Suspicion[] {
    const now = common.now();
    if (now - this.#windowStart > WINDOW_MILLISECONDS) {
      this.#windowStart = now;
      this.#selectedInWindow = 0;
    }
    const selected = suspicions
      .map((suspicion) => ({
        suspicion,
        crashCount: crashCountOf(suspicion.fingerprint),
      }))
      .sort((left, right) => right.crashCount - left.crashCount)
      .slice(0, MAX_SUSPICIONS_PER_WINDOW - this.#selectedInWindow);
    this.#selectedInWindow += selected.length;
    return selected.map(({ suspicion }) => suspicion);
  }
}
