import * as surgeClock from "../forecast/surge_clock.ts";

/** Urgency of a request whose caller says nothing (RFC 9218). */
export const USUAL_URGENCY = 3;
/** Time before a surge from which room is kept: long answers last about so. */
const AHEAD_MILLISECONDS = 60_000;
/** Requests a second that one entry takes in its stride at any time. */
const LEAST_RATE = 2;

/**
 * Keeps room for a surge that the clock brings. Answers that nobody waits for
 * fill the runners in quiet minutes and run on into the hour, when callers who
 * wait find no room and queue behind them. So shortly before a learned surge,
 * and in it, less urgent requests get only a part of each runner's room.
 */
export class SurgeReserve {
  readonly #clock = new surgeClock.SurgeClock(LEAST_RATE);
  readonly #wallClock: () => number;
  /** Start of the part of the hour that is being counted. */
  #partAt: number;
  #count = 0;
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
    this.#partAt = partStart(this.#wallClock());
  }

  /** Whether a surge is on or near. */
  get expected(): boolean {
    this.#roll();
    return this.#expected;
  }

  /** Counts a request that arrives; those that can wait make no surge. */
  count(urgency: number): void {
    this.#roll();
    if (urgency <= USUAL_URGENCY) this.#count++;
  }

  /** Part of each runner's room that a request may use. */
  roomShare(urgency: number): number {
    if (urgency <= USUAL_URGENCY || !this.expected) return 1;
    return 1 - this.parameters.share();
  }

  /** Learns from parts of the hour that are over; quiet ones count as such. */
  #roll(): void {
    const now = partStart(this.#wallClock());
    if (now === this.#partAt) return;
    const parts = (now - this.#partAt) / surgeClock.PART_MILLISECONDS;
    // After a pause, or a step of the clock, one round of the hour says it all.
    const quiet = Math.min(Math.max(parts - 1, 0), surgeClock.PARTS);
    if (parts > 0) this.#learn(this.#count, this.#partAt);
    for (let back = quiet; back > 0; back--) {
      this.#learn(0, now - back * surgeClock.PART_MILLISECONDS);
    }
    this.#count = 0;
    this.#partAt = now;
    const expected = this.#clock.expectsSurge(now, AHEAD_MILLISECONDS);
    if (expected === this.#expected) return;
    this.#expected = expected;
    this.parameters.onChange?.(expected);
  }

  #learn(count: number, partAt: number): void {
    const seconds = surgeClock.PART_MILLISECONDS / 1_000;
    this.#clock.observe(count / seconds, partAt);
  }
}

function partStart(wallMilliseconds: number): number {
  const inPart = wallMilliseconds % surgeClock.PART_MILLISECONDS;
  return wallMilliseconds - inPart;
}
