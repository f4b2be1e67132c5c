import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";

/** An accepted request that the quarantine can identify and stop. */
export class QuarantineHandle implements watchedRequests.WatchedRequest {
  /** Stops the current attempt, if that is allowed; unset between attempts. */
  onStop: (() => void) | undefined;

  constructor(
    readonly service: string,
    readonly lazyFingerprint: fingerprint.LazyFingerprint,
  ) {}

  /** Fingerprint of what the request asks for, computed on first use. */
  get fingerprint(): string {
    return this.lazyFingerprint.value;
  }

  /** Stops the current attempt, because the request was put in quarantine. */
  stop(): void {
    this.onStop?.();
  }
}
