import * as partOfHour from "./part_of_hour.ts";

/** Parts into which an hour is cut. */
export const PARTS = 120;
/** Length of a part in milliseconds. */
export const PART_MILLISECONDS = partOfHour.HOUR_MILLISECONDS / PARTS;
/** Weight of the newest hour in what is known of a part. */
const SMOOTHING = 0.4;
/** Parts that must be known before anything is said of the others. */
const LEAST_KNOWN = PARTS / 2;
/** How much above the hour's mean the rate of a surge is. */
const SURGE_FACTOR = 1.5;

/**
 * When in the hour callers crowd in, learned from rates of tokens or requests.
 * Callers that wake by the clock do so at the same minutes of each hour.
 */
export class SurgeClock {
  readonly #rates: (number | undefined)[] = Array.from({ length: PARTS });

  /** `leastRate` is a rate that is never a surge, however quiet the rest is. */
  constructor(readonly leastRate = 0) {}

  /** Takes in the rate seen around a wall-clock time. */
  observe(rate: number, wallMilliseconds: number): void {
    const part = partOfHour.partOfHour(wallMilliseconds, PARTS);
    const before = this.#rates[part] ?? rate;
    this.#rates[part] = before + SMOOTHING * (rate - before);
  }

  /** Whether a surge is usual between a wall-clock time and some time later. */
  expectsSurge(wallMilliseconds: number, spanMilliseconds: number): boolean {
    const known = this.#rates.flatMap((rate) => rate ?? []);
    if (known.length < LEAST_KNOWN) return false;
    const mean = known.reduce((sum, rate) => sum + rate, 0) / known.length;
    const surge = Math.max(SURGE_FACTOR * mean, this.leastRate);
    const until = wallMilliseconds + spanMilliseconds;
    for (let at = wallMilliseconds; at <= until; at += PART_MILLISECONDS) {
      const rate = this.#rates[partOfHour.partOfHour(at, PARTS)] ?? 0;
      if (rate > surge) return true;
    }
    return false;
  }
}
