import * as common from "@geraniumkeel/common";
import * as creditBucket from "./credit_bucket.ts";

/** Buckets that were not used for this long are dropped. */
const MAX_IDLE_MILLISECONDS = 300_000;
/**
 * Rate per second of a bucket whose account was removed from the configuration.
 * Until the bucket is dropped, other entries may still borrow from it and
 * return credit to it.
 */
const REMOVED_ACCOUNT_RATE = { requests: 1, tokens: 1, burstSeconds: 1 };

interface TrackedBucket {
  bucket: creditBucket.CreditBucket;
  usedAt: number;
}

/**
 * Credit buckets by account. The registry creates a bucket at its first use.
 * `sweep` drops the buckets that were not used for `MAX_IDLE_MILLISECONDS`.
 */
export class BucketRegistry {
  readonly #buckets = new Map<string, TrackedBucket>();

  constructor(
    readonly parameters: {
      /** Full rate of an account; `undefined` if it is not configured. */
      rateOf: (account: string) => creditBucket.CreditRate | undefined;
      /**
       * Share of the full rate that these buckets grant, from 0 to 1. The other
       * entries may grant the rest.
       */
      share: () => number;
    },
  ) {}

  /** Number of buckets. */
  get size(): number {
    return this.#buckets.size;
  }

  /**
   * The account's bucket; `undefined` if the account has none yet and is not
   * configured.
   */
  bucketOf(account: string): creditBucket.CreditBucket | undefined {
    const tracked = this.#buckets.get(account);
    if (tracked) {
      tracked.usedAt = common.now();
      return tracked.bucket;
    }
    if (!this.parameters.rateOf(account)) return undefined;
    const bucket = new creditBucket.CreditBucket(() =>
      this.#grantedRate(account),
    );
    this.#buckets.set(account, { bucket, usedAt: common.now() });
    return bucket;
  }

  /**
   * Drops the buckets that were not used for `MAX_IDLE_MILLISECONDS`.
   * `AccountLimits` calls this about once a second.
   */
  sweep(): void {
    const oldestUse = common.now() - MAX_IDLE_MILLISECONDS;
    for (const [account, { usedAt }] of this.#buckets) {
      if (usedAt < oldestUse) this.#buckets.delete(account);
    }
  }

  #grantedRate(account: string): creditBucket.CreditRate {
    const rate = this.parameters.rateOf(account);
    if (!rate) return REMOVED_ACCOUNT_RATE;
    const share = this.parameters.share();
    const { requests, tokens, burstSeconds } = rate;
    return { requests: requests * share, tokens: tokens * share, burstSeconds };
  }
}
