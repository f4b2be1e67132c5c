import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as forwardRequest from "./forward_request.ts";

/** How long a request has been here, and how long it may be. */
export class RequestClock {
  constructor(
    readonly request: forwardRequest.ForwardRequest,
    readonly route: traffic.Route,
  ) {}

  /** Milliseconds since it arrived. */
  get elapsed(): number {
    return common.ageOf(this.request.arrivedAt);
  }

  /** Time until the caller gives up or the route's time-out, whichever is first. */
  get millisecondsLeft(): number {
    const patience = this.request.patienceMilliseconds || Infinity;
    return Math.min(patience, this.route.timeoutMilliseconds) - this.elapsed;
  }
}
