import * as fingerprint from "../quarantine/fingerprint.ts";
import type * as watchedRequests from "../quarantine/watched_requests.ts";

/**
 * Handle of an accepted request by which the quarantine reads the request's
 * fingerprint and stops its current attempt.
 */
export class QuarantineHandle implements watchedRequests.WatchedRequest {
  /**
   * Stops the current attempt; `undefined` between attempts. `followAttempt`
   * sets it, and ignores the call if the request is not repeatable or the
   * caller has received part of the answer.
   */
  onStop: (() => void) | undefined;

  /**
   * Callers of this interface name no parts of their prompts, so that requests
   * are quarantined as a whole only.
   */
  readonly promptParts = [];

  constructor(
    readonly service: string,
    readonly lazyFingerprint: fingerprint.LazyFingerprint,
  ) {}

  /** Fingerprint of what the request asks for, computed on first use. */
  get fingerprint(): string {
    return this.lazyFingerprint.value;
  }

  /** Called when the request is quarantined; calls `onStop` if it is set. */
  stop(): void {
    this.onStop?.();
  }
}
