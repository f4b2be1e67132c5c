import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as callerRequest from "./caller_request.ts";

/**
 * Measures how long a request has been at this entry and how long it has left.
 */
export class RequestClock {
  constructor(
    readonly request: callerRequest.RequestHead,
    readonly route: traffic.Route,
  ) {}

  /** Milliseconds since the request arrived. */
  get elapsed(): number {
    return common.ageOf(this.request.arrivedAt);
  }

  /**
   * Milliseconds until the caller's timeout or the route's, whichever is
   * sooner.
   */
  get millisecondsLeft(): number {
    const timeout = this.request.timeoutMilliseconds || Infinity;
    return Math.min(timeout, this.route.timeoutMilliseconds) - this.elapsed;
  }
}
