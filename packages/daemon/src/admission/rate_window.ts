/** Counts events over about the last two seconds, in constant memory. */
export class RateWindow {
  #current = 0;
  #previous = 0;
  #startedAt: number;

  constructor(
    readonly windowMilliseconds: number,
    readonly clock: () => number,
  ) {
    this.#startedAt = clock();
  }

  /** Counts one event. */
  count(): void {
    this.#roll();
    this.#current++;
  }

  /** Events per millisecond. */
  get perMillisecond(): number {
    this.#roll();
    const elapsed = this.clock() - this.#startedAt;
    const share = elapsed / this.windowMilliseconds;
    const weighted = this.#current + this.#previous * (1 - share);
    return weighted / this.windowMilliseconds;
  }

  #roll(): void {
    const elapsed = this.clock() - this.#startedAt;
    if (elapsed < this.windowMilliseconds) return;
    const recent = elapsed < 2 * this.windowMilliseconds;
    this.#previous = recent ? this.#current : 0;
    this.#current = 0;
    this.#startedAt = this.clock();
  }
}
