import * as surgeForecast from "../forecast/surge_forecast.ts";

/** Urgency of a request whose caller says nothing (RFC 9218). */
export const DEFAULT_URGENCY = 3;
/** Time before a surge from which room is kept: long answers last about so. */
const LEAD_MILLISECONDS = 60_000;
/** Requests a second that one entry takes in its stride at any time. */
const MIN_SURGE_REQUESTS_PER_SECOND = 2;

/**
 * Keeps room for a surge that the clock brings. Answers that nobody waits for
 * fill the runners in quiet minutes and run on into the hour, when callers who
 * wait find no room and queue behind them. So shortly before a learned surge,
 * and in it, less urgent requests get only a part of each runner's room.
 */
export class SurgeReserve {
  readonly #forecast = new surgeForecast.SurgeForecast(
    MIN_SURGE_REQUESTS_PER_SECOND,
  );
  readonly #wallClock: () => number;
  /** Start of the part of the hour that is being counted. */
  #startedAt: number;
  #requestCount = 0;
  #expected = false;

  constructor(
    readonly parameters: {
      /** Part of each runner's room that is kept, from 0 to 1. */
      share: () => number;
      wallClock?: () => number;
      /** Told when a surge begins or ceases to be expected. */
      onChange?: (expected: boolean) => void;
    },
  ) {
    this.#wallClock = parameters.wallClock ?? Date.now;
    this.#startedAt = intervalStart(this.#wallClock());
  }

  /** Whether a surge is on or near. */
  get expected(): boolean {
    this.#advance();
    return this.#expected;
  }

  /** Counts a request that arrives; those that can wait make no surge. */
  count(urgency: number): void {
    this.#advance();
    if (urgency <= DEFAULT_URGENCY) this.#requestCount++;
  }

  /** Part of each runner's room that a request may use. */
  capacityShare(urgency: number): number {
    if (urgency <= DEFAULT_URGENCY || !this.expected) return 1;
    return 1 - this.parameters.share();
  }

  /** Learns from parts of the hour that are over; quiet ones count as such. */
  #advance(): void {
    const currentStart = intervalStart(this.#wallClock());
    if (currentStart === this.#startedAt) return;
    const elapsed =
      (currentStart - this.#startedAt) / surgeForecast.INTERVAL_MILLISECONDS;
    // After a pause, or a step of the clock, one round of the hour says it all.
    const emptyIntervals = Math.min(
      Math.max(elapsed - 1, 0),
      surgeForecast.INTERVALS_PER_HOUR,
    );
    if (elapsed > 0) this.#observe(this.#requestCount, this.#startedAt);
    for (let intervalsAgo = emptyIntervals; intervalsAgo > 0; intervalsAgo--) {
      this.#observe(
        0,
        currentStart - intervalsAgo * surgeForecast.INTERVAL_MILLISECONDS,
      );
    }
    this.#requestCount = 0;
    this.#startedAt = currentStart;
    const expected = this.#forecast.expectsSurge(
      currentStart,
      LEAD_MILLISECONDS,
    );
    if (expected === this.#expected) return;
    this.#expected = expected;
    this.parameters.onChange?.(expected);
  }

  #observe(count: number, startedAt: number): void {
    const seconds = surgeForecast.INTERVAL_MILLISECONDS / 1_000;
    this.#forecast.observe(count / seconds, startedAt);
  }
}

function intervalStart(wallMilliseconds: number): number {
  const sinceStart = wallMilliseconds % surgeForecast.INTERVAL_MILLISECONDS;
  return wallMilliseconds - sinceStart;
}
