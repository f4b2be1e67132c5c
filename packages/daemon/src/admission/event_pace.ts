import * as decayingMean from "./decaying_mean.ts";

/**
 * Mean pause between events, as a part of the longest one allowed, above which
 * capacity is reduced. Pauses vary, so that some exceed the allowed one then.
 */
const REDUCE_ABOVE = 0.8;
/** Part below which capacity is raised. Between the two it stays as it is. */
const RAISE_BELOW = 0.65;
/**
 * Pauses of more than this many times the longest one in time are those of a
 * service that stands still, which fewer requests would not shorten.
 */
const MAX_PACE = 4;
/** Factor of the capacity for each report interval of a slow service. */
const DECREASE_FACTOR = 0.93;
/** Part of the capacity that a fast service regains in a report interval. */
const INCREASE = 0.03;
/** Least part of the capacity, so that the service's pace is still measured. */
const MIN_CAPACITY_FACTOR = 0.4;

/**
 * Adapts the capacity of a service to the pace of its streams (additive
 * increase, multiplicative decrease). Runners in lock-step become slower with
 * each request that any of them processes, so that the events of all streams
 * may be late before the slots are taken.
 */
export class EventPace {
  readonly #mean = new decayingMean.DecayingMean();
  #capacityFactor = 1;
  #wasMeasured = false;

  /** Part of the slots that may be taken, from 0 to 1. */
  get capacityFactor(): number {
    return this.#capacityFactor;
  }

  /** Notes a pause between two events and the longest one that is in time. */
  note(milliseconds: number, longestMilliseconds: number): void {
    if (longestMilliseconds <= 0) return;
    const pace = milliseconds / longestMilliseconds;
    if (pace > MAX_PACE) return;
    this.#mean.note(pace);
    this.#wasMeasured = true;
  }

  /** Adjusts the capacity; called once in each report interval. */
  adjust(): void {
    const pace = this.#mean.value ?? 0;
    const isSlow = this.#wasMeasured && pace > REDUCE_ABOVE;
    this.#wasMeasured = false;
    if (isSlow) {
      const decreased = this.#capacityFactor * DECREASE_FACTOR;
      this.#capacityFactor = Math.max(MIN_CAPACITY_FACTOR, decreased);
    } else if (pace < RAISE_BELOW) {
      this.#capacityFactor = Math.min(1, this.#capacityFactor + INCREASE);
    }
  }
}
