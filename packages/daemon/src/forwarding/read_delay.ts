import * as nodePerformance from "node:perf_hooks";
import * as common from "@geraniumkeel/common";
import type * as silenceClock from "./silence_clock.ts";

/**
 * Tells for how long what arrived on a connection may have lain unread, since
 * this process stood still or its caller took nothing. While the process waits
 * for the connection and its event loop is idle, nothing lies unread.
 */
export class ReadDelay {
  /** Idle time of the event loop as the wait began; `undefined` out of one. */
  #idleBefore: number | undefined;
  #caughtUpAt = common.now();

  constructor(readonly clock: silenceClock.SilenceClock) {}

  /** Longest time for which what was read last may have lain unread. */
  get milliseconds(): number {
    return common.now() - this.#caughtUpAt;
  }

  /** Notes that the connection is read from now on. */
  startWait(): void {
    this.#idleBefore = idleMilliseconds();
  }

  /** Notes that something arrived on the connection, or its end. */
  endWait(): void {
    if (this.#idleBefore === undefined) return;
    const idleBefore = Math.max(this.#idleBefore, this.clock.idleAtHoldUp);
    this.#idleBefore = undefined;
    if (this.clock.isHeldUp) return;
    if (idleMilliseconds() > idleBefore) this.#caughtUpAt = common.now();
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

function idleMilliseconds(): number {
  return nodePerformance.performance.eventLoopUtilization().idle;
}
