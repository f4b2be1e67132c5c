import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as bucketRegistry from "./bucket_registry.ts";
import type * as creditBucket from "./credit_bucket.ts";

/**
 * Time to wait for the owner's answer. If none arrives, the entry grants credit
 * from its own share of the limit.
 */
const OWNER_TIMEOUT_MILLISECONDS = 250;
/**
 * Credit that all entries together borrow at a time beyond what their waiting
 * requests need, as seconds of the account's rate.
 */
const LOAN_SECONDS = 0.5;
/** An entry returns credit to the owner that it has not used for this long. */
const IDLE_CREDIT_MILLISECONDS = 1_000;

/** When to come back after credit could not be obtained by an exception. */
const FAILED_RETRY_MILLISECONDS = 1_000;

/** Whether a request fits in its account's limit. */
export type LimitOutcome =
  { kind: "granted" } | { kind: "refused"; retryAfterMilliseconds: number };

/** A request that waits for credit. */
interface Waiter {
  needed: creditBucket.Credit;
  resolve: (outcome: LimitOutcome) => void;
}

/** Credit of one account that this entry has borrowed and not used. */
interface LocalCredit {
  requests: number;
  tokens: number;
  usedAt: number;
  waiters: Waiter[];
  /** Whether `#serve` runs for this account. */
  isServing: boolean;
}

/** What `AccountLimits` uses of the rest of the entry. */
export interface AccountLimitsParameters {
  /** Host of this entry. */
  self: string;
  /** Hosts of all live entries, this one included. */
  entries: () => string[];
  account: (name: string) => configuration.Account | undefined;
  /** Factor by which all limits are scaled. */
  limitScale: () => number;
  /** Sends to another entry; false if that entry cannot be reached. */
  send: (host: string, message: wire.Message) => Promise<boolean>;
  /** Called with an exception while credit was obtained. */
  onFailure: (cause: unknown) => void;
}

/**
 * Enforces the limits of client accounts over all entries together, without a
 * write per request. One of the live entries owns the account's credit bucket
 * and lends credit to the other entries in portions. If an entry cannot reach
 * the owner, it grants requests from its own share of the limit: the limit
 * divided by the number of entries, so that the sum of all shares stays within
 * the limit.
 */
export class AccountLimits {
  readonly #localCredits = new Map<string, LocalCredit>();
  /** Buckets of the accounts that this entry owns. */
  readonly #ownedBuckets: bucketRegistry.BucketRegistry;
  /** Buckets with this entry's share, used while the owner is unreachable. */
  readonly #fallbackBuckets: bucketRegistry.BucketRegistry;
  /** Callbacks to call with the owner's answer, by account. */
  readonly #grantCallbacks = new Map<
    string,
    (
      grant: Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }>,
    ) => void
  >();

  constructor(readonly parameters: AccountLimitsParameters) {
    const rateOf = (account: string) => this.#rateOf(account);
    this.#ownedBuckets = new bucketRegistry.BucketRegistry({
      rateOf,
      share: () => 1,
    });
    this.#fallbackBuckets = new bucketRegistry.BucketRegistry({
      rateOf,
      share: () => 1 / Math.max(1, parameters.entries().length),
    });
  }

  /** Charges one request and its estimated tokens to the account's limit. */
  reserve(account: string, tokens: number): Promise<LimitOutcome> {
    const local = this.#localCreditOf(account);
    local.usedAt = common.now();
    return new Promise((resolve) => {
      local.waiters.push({ needed: { requests: 1, tokens }, resolve });
      if (!local.isServing) void this.#serve(account, local);
    });
  }

  /**
   * Replaces the tokens reserved for a request by those that it used. The
   * credit may become negative.
   */
  reconcile(account: string, reservedTokens: number, usedTokens: number): void {
    this.#localCreditOf(account).tokens += reservedTokens - usedTokens;
  }

  /** Gives back the credit reserved for a request that did not run. */
  refund(account: string, tokens: number): void {
    const local = this.#localCreditOf(account);
    local.requests += 1;
    local.tokens += tokens;
  }

  /** Handles credit messages of other entries; ignores all other messages. */
  handle(host: string, message: wire.Message): void {
    switch (message.kind) {
      case wire.MessageKind.CreditRequest:
        return this.#lend(host, message);
      case wire.MessageKind.CreditGrant:
        return this.#grantCallbacks.get(message.account)?.(message);
      case wire.MessageKind.CreditReturn: {
        return this.#ownedBuckets
          .bucketOf(message.account)
          ?.returnCredit(message);
      }
      default:
        return;
    }
  }

  /**
   * Returns unused credit to the owners and drops unused buckets. To be called
   * about every second.
   */
  sweep(): void {
    const now = common.now();
    for (const [account, local] of this.#localCredits) {
      const idle = now - local.usedAt > IDLE_CREDIT_MILLISECONDS;
      if (!idle || local.waiters.length > 0) continue;
      this.#localCredits.delete(account);
      this.#returnCredit(account, local);
    }
    this.#ownedBuckets.sweep();
    this.#fallbackBuckets.sweep();
  }

  /**
   * The part of the state dump on account limits: `owned` is the number of
   * buckets that this entry owns, `borrowing` the credit by account that it has
   * obtained and not used.
   */
  describe(): unknown {
    return {
      owned: this.#ownedBuckets.size,
      borrowing: Object.fromEntries(
        [...this.#localCredits].map(([account, { requests, tokens }]) => [
          account,
          { requests, tokens: Math.round(tokens) },
        ]),
      ),
    };
  }

  #localCreditOf(account: string): LocalCredit {
    const known = this.#localCredits.get(account);
    if (known) return known;
    const created: LocalCredit = {
      requests: 0,
      tokens: 0,
      usedAt: common.now(),
      waiters: [],
      isServing: false,
    };
    this.#localCredits.set(account, created);
    return created;
  }

  /**
   * Grants or refuses the waiting requests in order and borrows credit whenever
   * it runs out.
   */
  async #serve(account: string, local: LocalCredit): Promise<void> {
    local.isServing = true;
    try {
      await this.#serveWaiters(account, local);
    } catch (cause) {
      // The waiters have nobody else who answers them, and later ones would
      // wait for good behind a task that is gone.
      const retryAfterMilliseconds = FAILED_RETRY_MILLISECONDS;
      for (const { resolve } of local.waiters.splice(0))
        resolve({ kind: "refused", retryAfterMilliseconds });
      this.parameters.onFailure(cause);
    } finally {
      local.isServing = false;
    }
  }

  async #serveWaiters(account: string, local: LocalCredit): Promise<void> {
    while (local.waiters.length > 0) {
      const [waiter] = local.waiters;
      if (covers(local, waiter.needed)) {
        local.waiters.shift();
        local.requests -= waiter.needed.requests;
        local.tokens -= waiter.needed.tokens;
        waiter.resolve({ kind: "granted" });
        continue;
      }
      const waitMilliseconds = await this.#borrow(account, local);
      if (waitMilliseconds === undefined) continue;
      // No more credit is available now. What remains may cover some requests;
      // the others are refused with the time after which to retry.
      for (const remaining of local.waiters.splice(0)) {
        if (covers(local, remaining.needed)) {
          local.requests -= remaining.needed.requests;
          local.tokens -= remaining.needed.tokens;
          remaining.resolve({ kind: "granted" });
          continue;
        }
        const retryAfterMilliseconds = waitMilliseconds;
        remaining.resolve({ kind: "refused", retryAfterMilliseconds });
      }
    }
  }

  /**
   * Borrows credit for the waiting requests. If none is available, returns the
   * milliseconds to wait; 0 if the account is unknown.
   */
  async #borrow(
    account: string,
    local: LocalCredit,
  ): Promise<number | undefined> {
    const rate = this.#rateOf(account);
    if (!rate) return 0;
    const [first] = local.waiters;
    const needed = {
      requests: Math.max(0, first.needed.requests - local.requests),
      tokens: Math.max(0, first.needed.tokens - local.tokens),
    };
    const loanSeconds =
      LOAN_SECONDS / Math.max(1, this.parameters.entries().length);
    const waiting = sum(local.waiters.map((waiter) => waiter.needed));
    const wanted = {
      requests: Math.ceil(waiting.requests + rate.requests * loanSeconds),
      tokens: waiting.tokens + rate.tokens * loanSeconds,
    };
    const taken = await this.#obtainCredit(account, needed, wanted);
    if ("waitMilliseconds" in taken) return taken.waitMilliseconds;
    local.requests += taken.granted.requests;
    local.tokens += taken.granted.tokens;
    return undefined;
  }

  /**
   * Takes credit from the owner's bucket, or from this entry's share if the
   * owner does not answer in time.
   */
  async #obtainCredit(
    account: string,
    needed: creditBucket.Credit,
    wanted: creditBucket.Credit,
  ): Promise<ReturnType<creditBucket.CreditBucket["take"]>> {
    const owner = this.#ownerOf(account);
    if (owner === this.parameters.self) {
      const bucket = this.#ownedBuckets.bucketOf(account);
      return bucket?.take(needed, wanted) ?? { waitMilliseconds: 0 };
    }
    const grant = await this.#requestFromOwner(owner, account, needed, wanted);
    if (grant === undefined) {
      const bucket = this.#fallbackBuckets.bucketOf(account);
      return bucket?.take(needed, needed) ?? { waitMilliseconds: 0 };
    }
    if (grant.requests === 0 && grant.tokens === 0) {
      return { waitMilliseconds: grant.retryAfter };
    }
    return { granted: grant };
  }

  /** Asks the owner for credit; `undefined` if it does not answer in time. */
  async #requestFromOwner(
    owner: string,
    account: string,
    needed: creditBucket.Credit,
    wanted: creditBucket.Credit,
  ): Promise<
    Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }> | undefined
  > {
    const kind = wire.MessageKind.CreditRequest;
    const nextGrant = new Promise<
      Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }>
    >((resolve) => this.#grantCallbacks.set(account, resolve));
    const sent = await this.parameters.send(owner, {
      kind,
      account,
      requests: needed.requests,
      tokens: needed.tokens,
      wantedRequests: wanted.requests,
      wantedTokens: wanted.tokens,
    });
    if (!sent) return undefined;
    const grant = await common.withTimeout(
      nextGrant,
      OWNER_TIMEOUT_MILLISECONDS,
    );
    this.#grantCallbacks.delete(account);
    return grant;
  }

  /** Lends credit to another entry from a bucket that this entry owns. */
  #lend(
    host: string,
    request: Extract<wire.Message, { kind: wire.MessageKind.CreditRequest }>,
  ): void {
    const { account } = request;
    const bucket = this.#ownedBuckets.bucketOf(account);
    const wanted = {
      requests: request.wantedRequests,
      tokens: request.wantedTokens,
    };
    const taken = bucket?.take(request, wanted) ?? { waitMilliseconds: 0 };
    const kind = wire.MessageKind.CreditGrant;
    const grant =
      "granted" in taken
        ? { ...taken.granted, retryAfter: 0 }
        : { requests: 0, tokens: 0, retryAfter: taken.waitMilliseconds };
    void this.parameters.send(host, { kind, account, ...grant });
  }

  #returnCredit(account: string, local: LocalCredit): void {
    const { requests, tokens } = local;
    if (requests === 0 && tokens === 0) return;
    const owner = this.#ownerOf(account);
    if (owner === this.parameters.self) {
      this.#ownedBuckets.bucketOf(account)?.returnCredit({ requests, tokens });
      return;
    }
    const kind = wire.MessageKind.CreditReturn;
    void this.parameters.send(owner, { kind, account, requests, tokens });
  }

  /** The entry that owns the account's bucket. */
  #ownerOf(account: string): string {
    const entries = this.parameters.entries();
    return common.rendezvous(account, entries) ?? this.parameters.self;
  }

  /** Rate of an account over all entries; `undefined` if it is unknown. */
  #rateOf(account: string): creditBucket.CreditRate | undefined {
    const configured = this.parameters.account(account);
    if (!configured) return undefined;
    const scale = this.parameters.limitScale();
    return {
      requests: configured.requestsPerSecond * scale,
      tokens: configured.tokensPerSecond * scale,
      burstSeconds: configured.burstSeconds,
    };
  }
}

function covers(local: LocalCredit, needed: creditBucket.Credit): boolean {
  return local.requests >= needed.requests && local.tokens >= needed.tokens;
}

function sum(credits: creditBucket.Credit[]): creditBucket.Credit {
  return {
    requests: credits.reduce((total, credit) => total + credit.requests, 0),
    tokens: credits.reduce((total, credit) => total + credit.tokens, 0),
  };
}
