import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";

/** An accepted request as the quarantine sees it. */
export class StoppableRequest implements watchedRequests.WatchedRequest {
  /** Ends the attempt under way, if it may be ended. */
  onStop: (() => void) | undefined;

  constructor(
    readonly service: string,
    readonly lazyFingerprint: fingerprint.LazyFingerprint,
  ) {}

  /** Name of the request by what it asks for. */
  get fingerprint(): string {
    return this.lazyFingerprint.value;
  }

  /** It is put in quarantine while it is under way. */
  stop(): void {
    this.onStop?.();
  }
}
