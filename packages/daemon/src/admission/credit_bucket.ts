import * as common from "@geraniumkeel/common";

/** Number of requests and of text tokens that an account may use. */
export interface Credit {
  requests: number;
  tokens: number;
}

/** Credit that an account gains per second. */
export interface CreditRate extends Credit {
  /** Seconds of this rate that a bucket can save up. */
  burstSeconds: number;
}

/** Seconds of the rate that a new bucket starts with. */
const INITIAL_CREDIT_SECONDS = 1;

/**
 * Limits one account by the token bucket algorithm, for requests and for text
 * tokens. What the bucket contains is called credit here, because tokens are
 * text tokens. A new bucket starts with one second's credit instead of a full
 * burst: otherwise each entry that becomes the account's owner would grant
 * another burst.
 */
export class CreditBucket {
  #requests: number;
  #tokens: number;
  #refilledAt: number;

  constructor(
    readonly rate: () => CreditRate,
    readonly clock: () => number = common.now,
  ) {
    const { requests, tokens, burstSeconds } = rate();
    const seconds = Math.min(INITIAL_CREDIT_SECONDS, burstSeconds);
    // An account with a low rate can still send its first request at once.
    this.#requests = Math.max(1, requests * seconds);
    this.#tokens = tokens * seconds;
    this.#refilledAt = clock();
  }

  /** Credit that can be taken now. */
  get available(): Credit {
    this.#refill();
    return { requests: this.#requests, tokens: this.#tokens };
  }

  /**
   * If the bucket covers `needed`, takes up to `wanted`. Otherwise takes
   * nothing and returns the milliseconds until the bucket will cover `needed`.
   * Of more tokens than a burst, the bucket need only cover a burst; it then
   * grants all of `needed.tokens`.
   */
  take(
    needed: Credit,
    wanted: Credit,
  ): { granted: Credit } | { waitMilliseconds: number } {
    this.#refill();
    const rate = this.rate();
    // The bucket never contains more tokens than a burst. A call that needs more
    // gets them from a full bucket, which then becomes negative.
    const burstTokens = rate.tokens * rate.burstSeconds;
    const tokensNeeded = Math.min(needed.tokens, burstTokens);
    const missingRequests = needed.requests - this.#requests;
    const missingTokens = tokensNeeded - this.#tokens;
    if (missingRequests > 0 || missingTokens > 0) {
      const waitSeconds = Math.max(
        missingRequests / rate.requests,
        missingTokens / rate.tokens,
      );
      return { waitMilliseconds: waitSeconds * 1_000 };
    }
    const granted = {
      requests: Math.min(wanted.requests, Math.floor(this.#requests)),
      tokens: Math.max(needed.tokens, Math.min(wanted.tokens, this.#tokens)),
    };
    this.#requests -= granted.requests;
    this.#tokens -= granted.tokens;
    return { granted };
  }

  /**
   * Adds credit that an entry borrowed and did not use. The amounts are
   * negative if that entry used more than it borrowed.
   */
  returnCredit(credit: Credit): void {
    this.#requests += credit.requests;
    this.#tokens += credit.tokens;
    this.#refill();
  }

  /**
   * Adds the credit gained since the last call; limits the total to a burst.
   */
  #refill(): void {
    const rate = this.rate();
    const now = this.clock();
    const seconds = (now - this.#refilledAt) / 1_000;
    this.#refilledAt = now;
    const { burstSeconds } = rate;
    const maxRequests = Math.max(1, rate.requests * burstSeconds);
    const requests = this.#requests + rate.requests * seconds;
    const tokens = this.#tokens + rate.tokens * seconds;
    this.#requests = Math.min(requests, maxRequests);
    this.#tokens = Math.min(tokens, rate.tokens * burstSeconds);
  }
}
