import * as surgeForecast from "../forecast/surge_forecast.ts";

/**
 * Urgency of a request whose caller does not set one (RFC 9218). Greater
 * numbers are less urgent; requests with a greater number are called
 * low-urgency.
 */
export const DEFAULT_URGENCY = 3;
/**
 * Capacity is reserved from this long before a surge: long answers run for
 * about this time.
 */
const LEAD_MILLISECONDS = 60_000;
/**
 * An entry can serve this rate of requests for one service at any time, so no
 * rate up to it is a surge.
 */
const MIN_SURGE_REQUESTS_PER_SECOND = 2;

/**
 * Reserves capacity for surges that recur at the same minutes of each hour.
 * Otherwise low-urgency requests, such as those of batch jobs, for whose
 * answers nobody waits, would fill the runners in quiet minutes and still run
 * when the surge begins; interactive requests, whose callers wait for the
 * answers, would then find no capacity and queue behind them. So shortly before
 * and during an expected surge, low-urgency requests may use only a part of
 * each runner's capacity.
 *
 * To learn when surges occur, the reserve divides each hour into intervals of
 * `surgeForecast.INTERVAL_MILLISECONDS` and counts the requests of each.
 */
export class SurgeReserve {
  readonly #forecast = new surgeForecast.SurgeForecast(
    MIN_SURGE_REQUESTS_PER_SECOND,
  );
  readonly #wallClock: () => number;
  /** Wall-clock start of the interval whose requests are being counted. */
  #startedAt: number;
  #requestCount = 0;
  #expectsSurge = false;

  constructor(
    readonly parameters: {
      /**
       * Share of each runner's capacity, from 0 to 1, that low-urgency requests
       * may not use while a surge is expected.
       */
      reservedShare: () => number;
      /** Wall-clock time in milliseconds; `Date.now` if omitted. */
      wallClock?: () => number;
      /** Called when a surge becomes expected, and when it no longer is. */
      onChange?: (expected: boolean) => void;
    },
  ) {
    this.#wallClock = parameters.wallClock ?? Date.now;
    this.#startedAt = intervalStart(this.#wallClock());
  }

  /** Whether a surge is expected now or soon. */
  get expectsSurge(): boolean {
    this.#advance();
    return this.#expectsSurge;
  }

  /**
   * Counts an arriving request, unless it is low-urgency. If such requests were
   * counted, a batch job that runs at the same time of each hour would be taken
   * for a surge, and the reserve would withhold capacity from the job itself.
   */
  countRequest(urgency: number): void {
    this.#advance();
    if (urgency <= DEFAULT_URGENCY) this.#requestCount++;
  }

  /** Share of each runner's capacity that a request may use, from 0 to 1. */
  capacityShare(urgency: number): number {
    if (urgency <= DEFAULT_URGENCY || !this.expectsSurge) return 1;
    return 1 - this.parameters.reservedShare();
  }

  /**
   * If the clock has left the interval that is being counted, adds its count to
   * the forecast, adds 0 for each interval skipped since, and updates whether a
   * surge is expected. If the clock was set back, the count is dropped.
   */
  #advance(): void {
    const currentStart = intervalStart(this.#wallClock());
    if (currentStart === this.#startedAt) return;
    const intervalCount =
      (currentStart - this.#startedAt) / surgeForecast.INTERVAL_MILLISECONDS;
    // After a long pause of the process or a forward jump of the clock, 0 is
    // added at most once for each interval of the hour.
    const emptyIntervals = Math.min(
      Math.max(intervalCount - 1, 0),
      surgeForecast.INTERVALS_PER_HOUR,
    );
    if (intervalCount > 0) this.#observe(this.#requestCount, this.#startedAt);
    for (let intervalsAgo = emptyIntervals; intervalsAgo > 0; intervalsAgo--) {
      this.#observe(
        0,
        currentStart - intervalsAgo * surgeForecast.INTERVAL_MILLISECONDS,
      );
    }
    this.#requestCount = 0;
    this.#startedAt = currentStart;
    const expectsSurge = this.#forecast.expectsSurge(
      currentStart,
      LEAD_MILLISECONDS,
    );
    if (expectsSurge === this.#expectsSurge) return;
    this.#expectsSurge = expectsSurge;
    this.parameters.onChange?.(expectsSurge);
  }

  /** Adds the request rate of one interval to the forecast. */
  #observe(requestCount: number, startedAt: number): void {
    const seconds = surgeForecast.INTERVAL_MILLISECONDS / 1_000;
    this.#forecast.observe(requestCount / seconds, startedAt);
  }
}

/** Start of the interval that contains a wall-clock time. */
function intervalStart(wallMilliseconds: number): number {
  const sinceStart = wallMilliseconds % surgeForecast.INTERVAL_MILLISECONDS;
  return wallMilliseconds - sinceStart;
}
