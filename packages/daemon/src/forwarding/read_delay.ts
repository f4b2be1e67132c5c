import * as nodePerformance from "node:perf_hooks";
import * as common from "@geraniumkeel/common";
import type * as silenceClock from "./silence_clock.ts";

/**
 * Time that the silence clock may lag behind in a wait without the event loop
 * having been held up. It leaves out only steps of over 150 ms.
 */
const MAX_CLOCK_LAG_MILLISECONDS = 100;

/** Start of a wait for a connection, by the clocks that tell how it went. */
interface Wait {
  at: number;
  silence: number;
  idle: number;
}

/**
 * Tells for how long what arrived on a connection may have lain unread, since
 * this process stood still or its caller took nothing. While the process waits
 * for the connection and its event loop is idle, nothing lies unread.
 */
export class ReadDelay {
  #wait: Wait | undefined;
  #caughtUpAt = common.now();

  constructor(readonly clock: silenceClock.SilenceClock) {}

  /** Longest time for which what was read last may have lain unread. */
  get milliseconds(): number {
    return common.now() - this.#caughtUpAt;
  }

  /** Notes that the connection is read from now on. */
  startWait(): void {
    const { idle } = nodePerformance.performance.eventLoopUtilization();
    this.#wait = { at: common.now(), silence: this.clock.now(), idle };
  }

  /** Notes that something arrived on the connection, or its end. */
  endWait(): void {
    if (!this.#wait) return;
    const { at, silence, idle } = this.#wait;
    this.#wait = undefined;
    const now = common.now();
    const clockLag = now - at - (this.clock.now() - silence);
    // A process that was suspended counts the time as idle.
    if (clockLag > MAX_CLOCK_LAG_MILLISECONDS) return;
    const { idle: idleNow } =
      nodePerformance.performance.eventLoopUtilization();
    if (idleNow > idle) this.#caughtUpAt = now;
  }

  /** The body; its pieces and its end are noted. */
  async *follow(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    this.startWait();
    for await (const piece of body) {
      this.endWait();
      yield piece;
      this.startWait();
    }
    this.endWait();
  }
}
