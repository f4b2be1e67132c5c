import * as intervalOfHour from "./interval_of_hour.ts";

/** Parts into which an hour is cut. */
const INTERVALS_PER_HOUR = 12;
/** Weight of the newest observation of a part of the hour. */
const INTERVAL_SMOOTHING = 0.3;
/** Weight of the newest rate in the running mean. */
const RECENT_SMOOTHING = 0.4;

/**
 * Expert load by part of the hour. Callers wake by the clock, and each kind of
 * request favours its own experts, so the next minutes look more like the same
 * minutes an hour ago than like the last ones.
 */
export class ExpertLoadForecast {
  readonly #intervalLoads: (number[][] | undefined)[] = Array.from({
    length: INTERVALS_PER_HOUR,
  });
  #recentLoad: number[][] | undefined;

  /** Takes in the load seen around a wall-clock time. */
  observe(load: number[][], wallMilliseconds: number): void {
    const interval = intervalOfHour.intervalOfHour(
      wallMilliseconds,
      INTERVALS_PER_HOUR,
    );
    this.#intervalLoads[interval] = blend(
      this.#intervalLoads[interval],
      load,
      INTERVAL_SMOOTHING,
    );
    this.#recentLoad = blend(this.#recentLoad, load, RECENT_SMOOTHING);
  }

  /**
   * Load expected over a time from now: the running mean, and as far as the
   * hour is known by now, what its coming parts were like.
   */
  forecast(
    wallMilliseconds: number,
    horizonMilliseconds: number,
  ): number[][] | undefined {
    const comingLoads: number[][][] = [];
    const intervalMilliseconds =
      intervalOfHour.HOUR_MILLISECONDS / INTERVALS_PER_HOUR;
    const untilMilliseconds =
      wallMilliseconds +
      Math.min(horizonMilliseconds, intervalMilliseconds * 3);
    for (
      let time = wallMilliseconds;
      time <= untilMilliseconds;
      time += intervalMilliseconds
    ) {
      const known =
        this.#intervalLoads[
          intervalOfHour.intervalOfHour(time, INTERVALS_PER_HOUR)
        ];
      if (known) comingLoads.push(known);
    }
    if (!this.#recentLoad) return undefined;
    const loads = [this.#recentLoad, ...comingLoads];
    return this.#recentLoad.map((layer, index) =>
      layer.map(
        (_, expert) =>
          loads.reduce((sum, one) => sum + one[index][expert], 0) /
          loads.length,
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
