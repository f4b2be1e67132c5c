import * as nodePerformance from "node:perf_hooks";
import * as common from "@geraniumkeel/common";

/** How often the clock advances. */
const TICK_MILLISECONDS = 50;
/**
 * Longest time between two ticks that counts in full. After a longer one the
 * event loop was held up, and messages may wait unread.
 */
const MAX_STEP_MILLISECONDS = 150;

/**
 * Measures how long runners have been silent. It stands still while the event
 * loop of this process is held up, as the process reads nothing then. Timers
 * run before sockets are read: a process that had been busy or suspended for a
 * second would otherwise take all its runners for silent.
 */
export class SilenceClock {
  #milliseconds = 0;
  #tickedAt = common.now();
  #timer: NodeJS.Timeout | undefined;
  #idleAtHoldUp = 0;

  /** Starts the clock; it runs while a runner is waited for. */
  start(): void {
    this.#tickedAt = common.now();
    this.#timer ??= setInterval(() => this.#tick(), TICK_MILLISECONDS).unref();
  }

  /** Stops the clock. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Whether the event loop is held up, and what came meanwhile is being read. */
  get isHeldUp(): boolean {
    return common.now() - this.#tickedAt > MAX_STEP_MILLISECONDS;
  }

  /**
   * Idle milliseconds of the event loop up to the end of its last hold-up, 0
   * before the first. A process that was suspended counts that time as idle.
   */
  get idleAtHoldUp(): number {
    return this.#idleAtHoldUp;
  }

  /** Milliseconds for which the clock has run. */
  now(): number {
    const step = common.now() - this.#tickedAt;
    const isRunning = this.#timer !== undefined;
    const counts = isRunning && step <= MAX_STEP_MILLISECONDS;
    return this.#milliseconds + (counts ? step : 0);
  }

  #tick(): void {
    const now = common.now();
    const step = now - this.#tickedAt;
    this.#tickedAt = now;
    if (step <= MAX_STEP_MILLISECONDS) {
      this.#milliseconds += step;
      return;
    }
    const { idle } = nodePerformance.performance.eventLoopUtilization();
    this.#idleAtHoldUp = idle;
    // Runs after the sockets were read.
    setImmediate(() => (this.#milliseconds += MAX_STEP_MILLISECONDS));
  }
}
