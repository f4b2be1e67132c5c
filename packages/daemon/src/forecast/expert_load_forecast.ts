import * as intervalOfHour from "./interval_of_hour.ts";

const INTERVALS_PER_HOUR = 12;
/** Weight of the newest observation in the average load of its interval. */
const INTERVAL_SMOOTHING = 0.3;
/** Weight of the newest observation in the average of the recent load. */
const RECENT_SMOOTHING = 0.4;

/**
 * Forecasts the load of each expert from the recent load and from the same
 * minutes of earlier hours. Many callers start at fixed minutes of the hour,
 * and each kind of request activates its own experts. The next minutes
 * therefore resemble the same minutes an hour ago more than the last few
 * minutes. A load has one number for each layer and expert, in this order of
 * indexes.
 */
export class ExpertLoadForecast {
  /** Average load of each interval of the hour; `undefined` if not observed. */
  readonly #intervalLoads: (number[][] | undefined)[] = Array.from({
    length: INTERVALS_PER_HOUR,
  });
  /** Moving average of the load, regardless of the interval. */
  #recentLoad: number[][] | undefined;

  /** Adds the load that was measured around a wall-clock time. */
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
   * Load expected from a wall-clock time until the horizon: the mean of the
   * recent load and of all known intervals in this time, at most three
   * intervals ahead. Returns `undefined` before the first observation.
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
      const intervalLoad =
        this.#intervalLoads[
          intervalOfHour.intervalOfHour(time, INTERVALS_PER_HOUR)
        ];
      if (intervalLoad) comingLoads.push(intervalLoad);
    }
    if (!this.#recentLoad) return undefined;
    const loads = [this.#recentLoad, ...comingLoads];
    return this.#recentLoad.map((layer, index) =>
      layer.map(
        (_, expert) =>
          loads.reduce((sum, load) => sum + load[index][expert], 0) /
          loads.length,
      ),
    );
  }
}

/** Moving average: moves each number by `weight` towards the new one. */
function blend(
  average: number[][] | undefined,
  newest: number[][],
  weight: number,
): number[][] {
  if (!average) return newest.map((layer) => [...layer]);
  return average.map((layer, index) =>
    layer.map(
      (value, expert) => value + weight * (newest[index][expert] - value),
    ),
  );
}
