import * as os from "node:os";

/** A moment of this process, by both of its clocks, in milliseconds. */
export interface Instant {
  /** Stands still while the machine is suspended. */
  monotonic: number;
  /**
   * Goes on while the machine is suspended. Setting the time of day does not
   * move it; only differences mean something.
   */
  wall: number;
}

/** Clocks of a process, in milliseconds. */
export interface ProcessClocks {
  monotonic: () => number;
  /** Time of day, which may be set forward and back. */
  timeOfDay: () => number;
  /** Time since the machine started, with the time in which it was suspended. */
  uptime: () => number;
}

/**
 * Change of the time of day against the monotonic clock from which on the time
 * in which the machine was suspended is looked up; shorter ones are slewing, and
 * the coarse step of the uptime.
 */
const STEP_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Tells moments. A suspension moves the time of day against the monotonic clock,
 * and so does setting the time of day; the machine's uptime tells them apart. As
 * reading it takes microseconds, it is read only after such a move.
 */
export class InstantSource {
  /** Time of day less the monotonic clock, at the last look at the uptime. */
  #lead: number;
  /** Uptime less the monotonic clock at the start. */
  readonly #uptimeLead: number;
  #suspendedMilliseconds = 0;

  constructor(readonly clocks: ProcessClocks) {
    const { monotonic, timeOfDay, uptime } = clocks;
    this.#lead = timeOfDay() - monotonic();
    this.#uptimeLead = uptime() - monotonic();
  }

  /** This moment. */
  now(): Instant {
    const { timeOfDay, uptime } = this.clocks;
    const monotonic = this.clocks.monotonic();
    const lead = timeOfDay() - monotonic;
    if (Math.abs(lead - this.#lead) > STEP_MILLISECONDS) {
      this.#lead = lead;
      const suspended = uptime() - monotonic - this.#uptimeLead;
      if (suspended > this.#suspendedMilliseconds + STEP_MILLISECONDS)
        this.#suspendedMilliseconds = suspended;
    }
    return { monotonic, wall: monotonic + this.#suspendedMilliseconds };
  }
}

const OWN_SOURCE = new InstantSource({
  monotonic: () => performance.now(),
  timeOfDay: () => Date.now(),
  uptime: () => os.uptime() * MILLISECONDS_PER_SECOND,
});

/** This moment. */
export function instant(): Instant {
  return OWN_SOURCE.now();
}

/**
 * Milliseconds since a moment, and rather more than fewer. The monotonic clock
 * stands still while a machine is suspended, and what was proved before would
 * seem fresh after it; the other clock goes on then. A stale fact would need both
 * clocks to be wrong at once.
 */
export function ageOf(since: Instant, now: Instant = instant()): number {
  return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}
