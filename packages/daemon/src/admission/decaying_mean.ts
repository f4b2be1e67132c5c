/**
 * Weight of the newest value. A lasting change is followed for two thirds after
 * twenty values, and a single outlier changes the mean by a twentieth.
 */
const NEWEST_VALUE_WEIGHT = 0.05;

/** Mean of recent values, in constant memory. */
export class DecayingMean {
  #mean: number | undefined;

  /** The mean; `undefined` before the first value. */
  get value(): number | undefined {
    return this.#mean;
  }

  /** Adds a value. */
  note(value: number): void {
    const previous = this.#mean ?? value;
    this.#mean = previous + NEWEST_VALUE_WEIGHT * (value - previous);
  }
}
