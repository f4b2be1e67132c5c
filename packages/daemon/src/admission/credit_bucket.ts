import * as common from "@geraniumkeel/common";

/** Amounts of the two things an account's limit counts. */
export interface Credit {
  requests: number;
  tokens: number;
}

/** Rates of an account over all entries together. */
export interface CreditRate extends Credit {
  burstSeconds: number;
}

/** Seconds' worth that a new owner starts with. */
const INITIAL_CREDIT_SECONDS = 1;

/**
 * The global token bucket of one account, held by its owner entry. A new owner
 * starts with one second's worth and not a full burst, so that owners that come
 * and go do not each hand out a burst.
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
    // A slow account must still be able to send its first request at once.
    this.#requests = Math.max(1, requests * seconds);
    this.#tokens = tokens * seconds;
    this.#refilledAt = clock();
  }

  /** Credit at hand. */
  get available(): Credit {
    this.#refill();
    return { requests: this.#requests, tokens: this.#tokens };
  }

  /**
   * Takes `wanted` if there is enough for `needed`, as much of it as there is.
   * Else takes nothing and returns the wait until `needed` will be there.
   */
  take(
    needed: Credit,
    wanted: Credit,
  ): { granted: Credit } | { waitMilliseconds: number } {
    this.#refill();
    const rate = this.rate();
    // An answer larger than the whole burst could never be paid in advance.
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

  /** Takes back credit that was lent and not used; may be negative. */
  returnCredit(credit: Credit): void {
    this.#requests += credit.requests;
    this.#tokens += credit.tokens;
    this.#refill();
  }

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
