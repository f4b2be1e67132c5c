import * as intervalOfHour from "./interval_of_hour.ts";

/** Intervals of half a minute. */
export const INTERVALS_PER_HOUR = 120;
export const INTERVAL_MILLISECONDS =
  intervalOfHour.HOUR_MILLISECONDS / INTERVALS_PER_HOUR;
/** Weight of the newest observation in an interval's average rate. */
const SMOOTHING = 0.4;
/** Intervals that must have been observed before a surge can be expected. */
const MIN_KNOWN_INTERVALS = INTERVALS_PER_HOUR / 2;
/** A rate above this factor times the mean rate of the hour is a surge. */
const SURGE_FACTOR = 1.5;

/**
 * Learns at which minutes of the hour surges occur, from rates of text tokens
 * or of requests, always in the same unit. Callers that start at fixed minutes
 * cause surges at the same minutes of each hour.
 */
export class SurgeForecast {
  /**
   * Moving average of the rate in each interval of the hour; `undefined` if the
   * interval was not observed.
   */
  readonly #rates: (number | undefined)[] = Array.from({
    length: INTERVALS_PER_HOUR,
  });

  /**
   * A rate up to `minSurgeRate` is never a surge, however quiet the rest of the
   * hour is.
   */
  constructor(readonly minSurgeRate = 0) {}

  /**
   * Adds a measured rate. The wall-clock time decides to which interval of the
   * hour it is added.
   */
  observe(rate: number, wallMilliseconds: number): void {
    const interval = intervalOfHour.intervalOfHour(
      wallMilliseconds,
      INTERVALS_PER_HOUR,
    );
    const before = this.#rates[interval] ?? rate;
    this.#rates[interval] = before + SMOOTHING * (rate - before);
  }

  /**
   * Whether a surge is expected within the span that starts at a wall-clock
   * time. Checks the intervals at this time and every half minute after it, up
   * to the end of the span. Returns false before `MIN_KNOWN_INTERVALS` were
   * observed.
   */
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
