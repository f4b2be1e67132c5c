import * as common from "@geraniumkeel/common";

/**
 * Time within which a request must be sent once its permit is due. A process
 * that was suspended meanwhile asks again.
 */
export const VALIDITY_MILLISECONDS = 500;

/** Permission to send one request to one runner. */
export class RateLimitPermit {
  constructor(
    /** Incarnation of the runner for which it holds. */
    readonly incarnation: string,
    /** Time from asking until the request may be sent; `undefined` without a limit. */
    readonly delayMilliseconds: number | undefined,
    /** When it was asked for. */
    readonly askedAt = common.instant(),
    /** Time after it is due for which it holds. */
    readonly validityMilliseconds = VALIDITY_MILLISECONDS,
    /** Whether it holds no more, as the runner began to warm up since. */
    readonly isRevoked: () => boolean = () => false,
  ) {}

  /** Milliseconds until the request may be sent. */
  remainingMilliseconds(now = common.instant()): number {
    const delay = this.delayMilliseconds ?? 0;
    return Math.max(0, delay - common.ageOf(this.askedAt, now));
  }

  /** Whether the request may no longer be sent with this permit. */
  isExpired(now = common.instant()): boolean {
    if (this.isRevoked()) return true;
    if (this.delayMilliseconds === undefined) return false;
    const latest = this.delayMilliseconds + this.validityMilliseconds;
    return common.ageOf(this.askedAt, now) > latest;
  }
}
