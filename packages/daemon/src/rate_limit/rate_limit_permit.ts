import * as common from "@geraniumkeel/common";

/**
 * Time within which a request must be sent once its permit is due. A process
 * that was suspended meanwhile asks again.
 */
const VALIDITY_MILLISECONDS = 500;

/** Permission to send one request to one runner. */
export class RateLimitPermit {
  constructor(
    /** Incarnation of the runner for which it holds. */
    readonly incarnation: string,
    /** Time from asking until the request may be sent; `undefined` without a limit. */
    readonly delayMilliseconds: number | undefined,
    /** When it was asked for. */
    readonly askedAt = common.instant(),
  ) {}

  /** Milliseconds until the request may be sent. */
  remainingMilliseconds(now = common.instant()): number {
    const delay = this.delayMilliseconds ?? 0;
    return Math.max(0, delay - common.ageOf(this.askedAt, now));
  }

  /** Whether the request may no longer be sent with this permit. */
  isExpired(now = common.instant()): boolean {
    if (this.delayMilliseconds === undefined) return false;
    const latest = this.delayMilliseconds + VALIDITY_MILLISECONDS;
    return common.ageOf(this.askedAt, now) > latest;
  }
}
