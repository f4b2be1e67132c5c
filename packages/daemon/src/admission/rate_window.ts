/** Counts events over about the last two seconds, in constant memory. */
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

  /** Events per millisecond. */
  get perMillisecond(): number {
    this.#advance();
    const elapsed = this.clock() - this.#startedAt;
    const elapsedShare = elapsed / this.windowMilliseconds;
    const weightedCount =
      this.#currentCount + this.#previousCount * (1 - elapsedShare);
    return weightedCount / this.windowMilliseconds;
  }

  #advance(): void {
    const elapsed = this.clock() - this.#startedAt;
    if (elapsed < this.windowMilliseconds) return;
    const isPreviousWindowAdjacent = elapsed < 2 * this.windowMilliseconds;
    this.#previousCount = isPreviousWindowAdjacent ? this.#currentCount : 0;
    this.#currentCount = 0;
    this.#startedAt = this.clock();
  }
}
