import * as common from "@geraniumkeel/common";
import * as creditBucket from "./credit_bucket.ts";

/** Buckets that were not used for this long are dropped. */
const MAX_IDLE_MILLISECONDS = 300_000;
/** Rate of a bucket whose account was removed from the configuration. */
const REMOVED_ACCOUNT_RATE = { requests: 1, tokens: 1, burstSeconds: 1 };

interface TrackedBucket {
  bucket: creditBucket.CreditBucket;
  usedAt: number;
}

/**
 * Token buckets by account. The registry creates a bucket at its first use and
 * drops it when it was not used for long.
 */
export class BucketRegistry {
  readonly #buckets = new Map<string, TrackedBucket>();

  constructor(
    readonly parameters: {
      /** Full rate of an account; `undefined` if there is no such account. */
      rateOf: (account: string) => creditBucket.CreditRate | undefined;
      /** Share of the full rate that these buckets grant, from 0 to 1. */
      share: () => number;
    },
  ) {}

  /** Number of buckets. */
  get size(): number {
    return this.#buckets.size;
  }

  /** The account's bucket; `undefined` if there is no such account. */
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

  /** Drops the buckets that were not used for long. */
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
