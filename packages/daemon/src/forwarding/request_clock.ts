import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as callerRequest from "./caller_request.ts";

/** How long a request has been here, and how long it may be. */
export class RequestClock {
  constructor(
    readonly request: callerRequest.CallerRequest,
    readonly route: traffic.Route,
  ) {}

  /** Milliseconds since it arrived. */
  get elapsed(): number {
    return common.ageOf(this.request.arrivedAt);
  }

  /** Time until the caller gives up or the route's time-out, whichever is first. */
  get millisecondsLeft(): number {
    const timeout = this.request.timeoutMilliseconds || Infinity;
    return Math.min(timeout, this.route.timeoutMilliseconds) - this.elapsed;
  }
}
