/** Whether and when a request may be sent. */
export type PacerAnswer =
  /** The request may be sent after this delay, which the pacer has reserved. */
  | { kind: "granted"; delayMilliseconds: number }
  /** The next request could be sent only after this wait. */
  | { kind: "denied"; waitMilliseconds: number };

/** A request to a limited runner. */
export interface PacedRequest {
  /** Requests a second that may be sent now; greater than 0. */
  perSecond: number;
  /** Requests that may be sent at once after a pause. */
  burst: number;
  /** By the clock of the caller, in milliseconds. */
  now: number;
  /** Longest time that the request can wait. */
  maxDelayMilliseconds: number;
}

/**
 * Spaces requests to one runner by its rate limit (generic cell rate
 * algorithm). A request that can wait gets a reserved time, so that requests
 * are sent in the order in which they asked. In any span of time at most the
 * rate times the span, plus the burst, are sent.
 */
export class RequestPacer {
  /** When the next request may be sent if none was saved up. */
  #nextAt = -Infinity;

  /** Milliseconds until a request that asks then may be sent at once. */
  waitMilliseconds(now: number): number {
    return Math.max(0, this.#nextAt - now);
  }

  /** Reserves a time for a request if there is one within its delay. */
  schedule(request: PacedRequest): PacerAnswer {
    const { perSecond, burst, now, maxDelayMilliseconds } = request;
    const intervalMilliseconds = 1_000 / perSecond;
    const savedSince = now - (burst - 1) * intervalMilliseconds;
    const at = Math.max(this.#nextAt, savedSince);
    const delayMilliseconds = Math.max(0, at - now);
    if (delayMilliseconds > maxDelayMilliseconds) {
      return { kind: "denied", waitMilliseconds: delayMilliseconds };
    }
    this.#nextAt = at + intervalMilliseconds;
    return { kind: "granted", delayMilliseconds };
  }
}
