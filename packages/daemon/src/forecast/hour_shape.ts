import * as partOfHour from "./part_of_hour.ts";

/** Parts into which an hour is cut. */
const PARTS = 12;
/** Weight of the newest observation of a part of the hour. */
const SMOOTHING = 0.3;
/** Weight of the newest rate in the running mean. */
const RUNNING_SMOOTHING = 0.4;

/**
 * Expert load by part of the hour. Callers wake by the clock, and each kind of
 * request favours its own experts, so the next minutes look more like the same
 * minutes an hour ago than like the last ones.
 */
export class HourShape {
  readonly #parts: (number[][] | undefined)[] = Array.from({ length: PARTS });
  #running: number[][] | undefined;

  /** Takes in the load seen around a wall-clock time. */
  observe(load: number[][], wallMilliseconds: number): void {
    const part = partOfHour.partOfHour(wallMilliseconds, PARTS);
    this.#parts[part] = blend(this.#parts[part], load, SMOOTHING);
    this.#running = blend(this.#running, load, RUNNING_SMOOTHING);
  }

  /**
   * Load expected over a time from now: the running mean, and as far as the
   * hour is known by now, what its coming parts were like.
   */
  forecast(
    wallMilliseconds: number,
    horizonMilliseconds: number,
  ): number[][] | undefined {
    const coming: number[][][] = [];
    const step = partOfHour.HOUR_MILLISECONDS / PARTS;
    const until = wallMilliseconds + Math.min(horizonMilliseconds, step * 3);
    for (let time = wallMilliseconds; time <= until; time += step) {
      const known = this.#parts[partOfHour.partOfHour(time, PARTS)];
      if (known) coming.push(known);
    }
    if (!this.#running) return undefined;
    const all = [this.#running, ...coming];
    return this.#running.map((layer, index) =>
      layer.map(
        (_, expert) =>
          all.reduce((sum, one) => sum + one[index][expert], 0) / all.length,
      ),
    );
  }
}

function blend(
  before: number[][] | undefined,
  now: number[][],
  weight: number,
): number[][] {
  if (!before) return now.map((layer) => [...layer]);
  return before.map((layer, index) =>
    layer.map((value, expert) => value + weight * (now[index][expert] - value)),
  );
}
