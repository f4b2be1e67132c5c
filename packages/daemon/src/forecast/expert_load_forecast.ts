import * as intervalOfHour from "./interval_of_hour.ts";

/** Intervals of five minutes; those of the surge forecast are shorter. */
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
 * minutes. A load is an array by layer and expert, `load[layer][expert]`. The
 * numbers are text tokens per second.
 */
export class ExpertLoadForecast {
  /**
   * Moving average of the load in each interval of the hour; `undefined` if the
   * interval was not observed.
   */
  readonly #intervalLoads: (number[][] | undefined)[] = Array.from({
    length: INTERVALS_PER_HOUR,
  });
  /** Moving average over all observations, whatever their interval. */
  #recentLoad: number[][] | undefined;

  /**
   * Adds a measured load. The wall-clock time decides to which interval of the
   * hour it is added.
   */
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
   * Load expected between a wall-clock time and the horizon after it: the mean
   * of the recent load and of the average loads of the coming intervals that
   * were observed, all with the same weight. The coming intervals are those at
   * the given time and every five minutes after it, up to the horizon and up to
   * 15 minutes. An interval that begins after the last of these times is left
   * out, even if it begins before the horizon. Returns `undefined` before the
   * first observation.
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

/**
 * Updates a moving average: moves each number towards the newest one by the
 * share `weight`, from 0 to 1, of their difference.
 */
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
