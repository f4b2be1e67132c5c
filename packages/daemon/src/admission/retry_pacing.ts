import * as common from "@geraniumkeel/common";

/**
 * Longest time that pacing sends a caller away for. At the start of a surge the
 * rate seen is that of the quiet before; spread out by it, callers would leave
 * runners idle: with 60 s it took 3.7 times as long to answer all, with 6 s 2.2
 * times, with 3 s no longer than without pacing.
 */
const MAX_RETRY_DELAY_MILLISECONDS = 3_000;

/**
 * Gives each refused caller a time of its own to come back, as far apart as
 * requests are served. Callers that woke together and were all told the same
 * second, jittered or not, would come back together and be refused again.
 */
export class RetryPacing {
  #lastRetryAt = 0;

  constructor(readonly clock: () => number = common.now) {}

  /** Milliseconds until the next free time, none before the queue is served. */
  nextDelayMilliseconds(parameters: {
    queueMilliseconds: number;
    requestsPerMillisecond: number;
  }): number {
    const { queueMilliseconds, requestsPerMillisecond } = parameters;
    const now = this.clock();
    const gap = requestsPerMillisecond > 0 ? 1 / requestsPerMillisecond : 0;
    const earliest = now + queueMilliseconds;
    const latest = now + MAX_RETRY_DELAY_MILLISECONDS;
    this.#lastRetryAt = Math.min(
      Math.max(this.#lastRetryAt + gap, earliest),
      latest,
    );
    return this.#lastRetryAt - now;
  }
}
