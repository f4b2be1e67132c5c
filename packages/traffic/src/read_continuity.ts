import * as common from "@geraniumkeel/common";

/**
 * Time without a known read of the store after which rows may have lapsed unseen, in
 * milliseconds. Runners write every second or so and lapse after three intervals of
 * silence, so that a shorter outage ends no registration. In normal operation a look
 * begins at least every 1.1 s, and within 1.7 s if the entries that look have ended.
 */
const GAP_MILLISECONDS = 2_000;

/** Time for which the store is known to serve, up to the last known read. */
export interface ReadSpan {
  /** When this process learned of the first read of the span. */
  since: common.Instant;
  /**
   * Whether the store was away before the span. If not, it may have served others
   * while this process heard nothing of them, or before this process started.
   */
  afterOutage: boolean;
}

/**
 * Tells an outage of the store from trouble of this process. It collects the moments
 * at which any entry read the store. A gap between them is an outage only if this
 * process heard all other entries meanwhile.
 */
export class ReadContinuity {
  #span: ReadSpan | undefined;
  #lastReadAt: common.Instant | undefined;

  /** `heardAllSince`: whether all other entries were heard without a break. */
  constructor(
    readonly heardAllSince: (moment: common.Instant) => boolean = () => true,
  ) {}

  /** The present span; `undefined` before the first read. */
  get span(): ReadSpan | undefined {
    return this.#span;
  }

  /** Notes that this or another entry read the store in a look begun at `at`. */
  note(at: common.Instant, learnedAt = common.instant()): void {
    const last = this.#lastReadAt;
    if (last && at.monotonic <= last.monotonic) return;
    this.#lastReadAt = at;
    if (!last) {
      this.#span = { since: learnedAt, afterOutage: false };
    } else if (common.ageOf(last, at) > GAP_MILLISECONDS) {
      const afterOutage = this.heardAllSince(last);
      this.#span = { since: learnedAt, afterOutage };
    }
  }
}
