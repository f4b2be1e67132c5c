import * as surgeForecast from "../forecast/surge_forecast.ts";

/** Urgency of a request whose caller does not set one (RFC 9218). */
export const DEFAULT_URGENCY = 3;
/**
 * Time before a surge from which capacity is reserved: long answers run for
 * about this time.
 */
const LEAD_MILLISECONDS = 60_000;
/** An entry serves this rate easily at any time, so it is never a surge. */
const MIN_SURGE_REQUESTS_PER_SECOND = 2;

/**
 * Reserves capacity for surges that recur at the same minutes of each hour.
 * Otherwise requests without a waiting caller, such as batch jobs, would fill
 * the runners in quiet minutes and still run when the surge begins; callers who
 * wait for their answers would then find no capacity and queue behind them. So
 * shortly before and during an expected surge, requests of less than the
 * default urgency may use only a part of each runner's capacity.
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
      /** Share of each runner's capacity that is reserved, from 0 to 1. */
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
   * Counts a request that arrives. Less urgent requests are ignored: they would
   * have capacity reserved against themselves.
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
   * Once the current interval is over, adds its count to the forecast, adds 0
   * for each interval since then, and asks whether a surge is expected.
   */
  #advance(): void {
    const currentStart = intervalStart(this.#wallClock());
    if (currentStart === this.#startedAt) return;
    const intervalCount =
      (currentStart - this.#startedAt) / surgeForecast.INTERVAL_MILLISECONDS;
    // After a pause of the process or a jump of the clock, one hour of empty
    // intervals is enough: it covers each interval of the hour once.
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

  /** Adds the requests of one interval to the forecast. */
  #observe(requestCount: number, startedAt: number): void {
    const seconds = surgeForecast.INTERVAL_MILLISECONDS / 1_000;
    this.#forecast.observe(requestCount / seconds, startedAt);
  }
}

/** Start of the interval that a wall-clock time is in. */
function intervalStart(wallMilliseconds: number): number {
  const sinceStart = wallMilliseconds % surgeForecast.INTERVAL_MILLISECONDS;
  return wallMilliseconds - sinceStart;
}
