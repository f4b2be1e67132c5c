import * as intervalOfHour from "./interval_of_hour.ts";

/** Parts into which an hour is cut. */
export const INTERVALS_PER_HOUR = 120;
/** Length of a part in milliseconds. */
export const INTERVAL_MILLISECONDS =
  intervalOfHour.HOUR_MILLISECONDS / INTERVALS_PER_HOUR;
/** Weight of the newest hour in what is known of a part. */
const SMOOTHING = 0.4;
/** Parts that must be known before anything is said of the others. */
const MIN_KNOWN_INTERVALS = INTERVALS_PER_HOUR / 2;
/** How much above the hour's mean the rate of a surge is. */
const SURGE_FACTOR = 1.5;

/**
 * When in the hour callers crowd in, learned from rates of tokens or requests.
 * Callers that wake by the clock do so at the same minutes of each hour.
 */
export class SurgeForecast {
  readonly #rates: (number | undefined)[] = Array.from({
    length: INTERVALS_PER_HOUR,
  });

  /** `leastRate` is a rate that is never a surge, however quiet the rest is. */
  constructor(readonly minSurgeRate = 0) {}

  /** Takes in the rate seen around a wall-clock time. */
  observe(rate: number, wallMilliseconds: number): void {
    const interval = intervalOfHour.intervalOfHour(
      wallMilliseconds,
      INTERVALS_PER_HOUR,
    );
    const before = this.#rates[interval] ?? rate;
    this.#rates[interval] = before + SMOOTHING * (rate - before);
  }

  /** Whether a surge is usual between a wall-clock time and some time later. */
  expectsSurge(wallMilliseconds: number, spanMilliseconds: number): boolean {
    const knownRates = this.#rates.flatMap((rate) => rate ?? []);
    if (knownRates.length < MIN_KNOWN_INTERVALS) return false;
    const mean =
      knownRates.reduce((sum, rate) => sum + rate, 0) / knownRates.length;
    const surgeRate = Math.max(SURGE_FACTOR * mean, this.minSurgeRate);
    const until = wallMilliseconds + spanMilliseconds;
    for (let at = wallMilliseconds; at <= until; at += INTERVAL_MILLISECONDS) {
      const rate =
        this.#rates[intervalOfHour.intervalOfHour(at, INTERVALS_PER_HOUR)] ?? 0;
      if (rate > surgeRate) return true;
    }
    return false;
  }
}
