/**
 * Factor by which each value moves the estimate. It halves or doubles within 14
 * values, and moves by a twentieth around the median.
 */
const STEP_FACTOR = 1.05;

/** Estimates the median of recent values, in constant memory. */
export class RunningMedian {
  #estimate: number | undefined;

  /** The estimate; `undefined` before the first value above 0. */
  get value(): number | undefined {
    return this.#estimate;
  }

  /** Adds a value. */
  note(value: number): void {
    if (this.#estimate === undefined) {
      if (value > 0) this.#estimate = value;
    } else if (value > this.#estimate) {
      this.#estimate = Math.min(value, this.#estimate * STEP_FACTOR);
    } else {
      this.#estimate = Math.max(value, this.#estimate / STEP_FACTOR);
    }
  }
}
