import * as partOfHour from "./part_of_hour.ts";

/** Parts into which an hour is cut. */
const PARTS = 120;
const PART_MILLISECONDS = partOfHour.HOUR_MILLISECONDS / PARTS;
/** Weight of the newest hour in what is known of a part. */
const SMOOTHING = 0.4;
/** Parts that must be known before anything is said of the others. */
const LEAST_KNOWN = PARTS / 2;
/** How much above the hour's mean the rate of a surge is. */
const SURGE_FACTOR = 1.5;

/**
 * When in the hour callers crowd in, learned from a group's token rates. Callers
 * that wake by the clock do so at the same minutes of each hour.
 */
export class SurgeClock {
  readonly #rates: (number | undefined)[] = Array.from({ length: PARTS });

  /** Takes in the tokens a second seen around a wall-clock time. */
  observe(tokensPerSecond: number, wallMilliseconds: number): void {
    const part = partOfHour.partOfHour(wallMilliseconds, PARTS);
    const before = this.#rates[part] ?? tokensPerSecond;
    this.#rates[part] = before + SMOOTHING * (tokensPerSecond - before);
  }

  /** Whether a surge is usual between a wall-clock time and some time later. */
  expectsSurge(wallMilliseconds: number, spanMilliseconds: number): boolean {
    const known = this.#rates.flatMap((rate) => rate ?? []);
    if (known.length < LEAST_KNOWN) return false;
    const mean = known.reduce((sum, rate) => sum + rate, 0) / known.length;
    const until = wallMilliseconds + spanMilliseconds;
    for (let at = wallMilliseconds; at <= until; at += PART_MILLISECONDS) {
      if (
        (this.#rates[partOfHour.partOfHour(at, PARTS)] ?? 0) >
        SURGE_FACTOR * mean
      )
        return true;
    }
    return false;
  }
}
