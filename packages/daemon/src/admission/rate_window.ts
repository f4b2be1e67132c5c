/**
 * Measures the rate of events over a sliding window in constant memory. It
 * counts the events of the current and of the previous window; the previous one
 * counts by the part of it that the sliding window still covers.
 */
export class RateWindow {
  #currentCount = 0;
  #previousCount = 0;
  #startedAt: number;

  constructor(
    readonly windowMilliseconds: number,
    readonly clock: () => number,
  ) {
    this.#startedAt = clock();
  }

  /** Counts one event. */
  count(): void {
    this.#advance();
    this.#currentCount++;
  }

  /** Events per millisecond; 0 if neither window has any. */
  get perMillisecond(): number {
    this.#advance();
    const elapsed = this.clock() - this.#startedAt;
    const elapsedShare = elapsed / this.windowMilliseconds;
    const weightedCount =
      this.#currentCount + this.#previousCount * (1 - elapsedShare);
    return weightedCount / this.windowMilliseconds;
  }

  /** Begins a new window if the current one is over. */
  #advance(): void {
    const elapsed = this.clock() - this.#startedAt;
    if (elapsed < this.windowMilliseconds) return;
    const isCountRecent = elapsed < 2 * this.windowMilliseconds;
    this.#previousCount = isCountRecent ? this.#currentCount : 0;
    this.#currentCount = 0;
    this.#startedAt = this.clock();
  }
}
