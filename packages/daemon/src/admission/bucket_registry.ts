import * as common from "@geraniumkeel/common";
import * as creditBucket from "./credit_bucket.ts";

/** Buckets unused for this long are forgotten. */
const MAX_IDLE_MILLISECONDS = 300_000;
/** Rate of an account that was removed while its bucket was in use. */
const REMOVED_ACCOUNT_RATE = { requests: 1, tokens: 1, burstSeconds: 1 };

interface TrackedBucket {
  bucket: creditBucket.CreditBucket;
  usedAt: number;
}

/** Buckets of accounts, made when first used and forgotten when long unused. */
export class BucketRegistry {
  readonly #buckets = new Map<string, TrackedBucket>();

  constructor(
    readonly parameters: {
      /** Whole rate of an account; `undefined` if there is none. */
      rateOf: (account: string) => creditBucket.CreditRate | undefined;
      /** Part of the rate that these buckets give out. */
      share: () => number;
    },
  ) {}

  /** Buckets held. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Bucket of an account; `undefined` if there is no such account. */
  bucketOf(account: string): creditBucket.CreditBucket | undefined {
    const tracked = this.#buckets.get(account);
    if (tracked) {
      tracked.usedAt = common.now();
      return tracked.bucket;
    }
    if (!this.parameters.rateOf(account)) return undefined;
    const bucket = new creditBucket.CreditBucket(() =>
      this.#sharedRate(account),
    );
    this.#buckets.set(account, { bucket, usedAt: common.now() });
    return bucket;
  }

  /** Forgets buckets that were not used for long. */
  sweep(): void {
    const oldestUse = common.now() - MAX_IDLE_MILLISECONDS;
    for (const [account, { usedAt }] of this.#buckets) {
      if (usedAt < oldestUse) this.#buckets.delete(account);
    }
  }

  #sharedRate(account: string): creditBucket.CreditRate {
    const rate = this.parameters.rateOf(account);
    if (!rate) return REMOVED_ACCOUNT_RATE;
    const share = this.parameters.share();
    const { requests, tokens, burstSeconds } = rate;
    return { requests: requests * share, tokens: tokens * share, burstSeconds };
  }
}
