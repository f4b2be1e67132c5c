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
/**
 * Longest time that the reads of the clocks for one look may take. A process that is
 * paused between two of them sees the clocks differ as after a suspension.
 */
const MAX_LOOK_MILLISECONDS = 5;
/** Looks in a row until one is not interrupted; after them the next call looks. */
const MAX_LOOKS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** One look at the clocks of a process. */
interface ClockLook {
  monotonic: number;
  /** Time of day less the monotonic clock. */
  lead: number;
  /** Uptime less the monotonic clock. */
  uptimeLead: number;
  /** Whether the process was not paused between the reads. */
  isUsable: boolean;
}

/**
 * Tells moments. A suspension moves the time of day against the monotonic clock,
 * and so does setting the time of day; the machine's uptime tells them apart. As
 * reading it takes microseconds, it is read only after such a move. A machine that is
 * paused from outside, and whose uptime does not advance meanwhile, is not seen: its
 * time of day is taken for one that was set.
 */
export class InstantSource {
  /** Time of day less the monotonic clock, at the last look at the uptime. */
  #lead: number;
  /** Uptime less the monotonic clock at the start. */
  readonly #uptimeLead: number;
  #suspendedMilliseconds = 0;

  constructor(readonly clocks: ProcessClocks) {
    const { lead, uptimeLead } = this.#look();
    this.#lead = lead;
    this.#uptimeLead = uptimeLead;
  }

  /** This moment. */
  now(): Instant {
    const monotonic = this.clocks.monotonic();
    const lead = this.clocks.timeOfDay() - monotonic;
    return Math.abs(lead - this.#lead) > STEP_MILLISECONDS
      ? this.#nowAfterStep()
      : this.#at(monotonic);
  }

  /** This moment, after the time of day moved against the monotonic clock. */
  #nowAfterStep(): Instant {
    const { monotonic, lead, uptimeLead, isUsable } = this.#look();
    if (isUsable) {
      this.#lead = lead;
      const suspended = uptimeLead - this.#uptimeLead;
      if (suspended > this.#suspendedMilliseconds + STEP_MILLISECONDS)
        this.#suspendedMilliseconds = suspended;
    }
    return this.#at(monotonic);
  }

  #at(monotonic: number): Instant {
    return { monotonic, wall: monotonic + this.#suspendedMilliseconds };
  }

  /** Looks at all clocks, again if the process was paused meanwhile. */
  #look(): ClockLook {
    let look = this.#lookOnce();
    for (let count = 1; count < MAX_LOOKS && !look.isUsable; count++)
      look = this.#lookOnce();
    return look;
  }

  #lookOnce(): ClockLook {
    const { clocks } = this;
    const monotonic = clocks.monotonic();
    const lead = clocks.timeOfDay() - monotonic;
    const uptimeLead = clocks.uptime() - monotonic;
    const took = clocks.monotonic() - monotonic;
    const isUsable = took <= MAX_LOOK_MILLISECONDS;
    return { monotonic, lead, uptimeLead, isUsable };
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
