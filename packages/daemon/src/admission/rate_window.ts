/**
 * Estimates the rate of recent events in constant memory. It counts the events
 * of the current interval and remembers the count of the previous one. An
 * interval lasts `windowMilliseconds`. The longer the current interval has
 * lasted, the less weight the previous count has: from 1 at its start to 0 at
 * its end.
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

  /** Events per millisecond; 0 if neither interval contains an event. */
  get perMillisecond(): number {
    this.#advance();
    const elapsed = this.clock() - this.#startedAt;
    const elapsedShare = elapsed / this.windowMilliseconds;
    const weightedCount =
      this.#currentCount + this.#previousCount * (1 - elapsedShare);
    return weightedCount / this.windowMilliseconds;
  }

  /**
   * Begins a new interval if the current one is over. The new one begins now,
   * not at the end of the old one. After a gap shorter than the window, the old
   * count therefore enters with full weight, and after a longer gap not at all.
   */
  #advance(): void {
    const elapsed = this.clock() - this.#startedAt;
    if (elapsed < this.windowMilliseconds) return;
    const isCountRecent = elapsed < 2 * this.windowMilliseconds;
    this.#previousCount = isCountRecent ? this.#currentCount : 0;
    this.#currentCount = 0;
    this.#startedAt = this.clock();
  }
}
