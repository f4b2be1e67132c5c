import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as bucketShelf from "./bucket_shelf.ts";
import type * as creditBucket from "./credit_bucket.ts";

/** Time to wait for the owner's answer before the local share is used. */
const OWNER_TIMEOUT_MILLISECONDS = 250;
/** Seconds' worth of an account's limit borrowed at a time, over all entries. */
const LENT_SECONDS = 0.5;
/** Credit unused for this long goes back to the owner. */
const IDLE_MILLISECONDS = 1_000;

/** Outcome of asking for credit. */
export type LimitOutcome =
  { kind: "granted" } | { kind: "refused"; retryAfterMilliseconds: number };

interface Waiter {
  needed: creditBucket.Credit;
  resolve: (outcome: LimitOutcome) => void;
}

/** Credit of one account at this entry. */
interface LocalCredit {
  requests: number;
  tokens: number;
  usedAt: number;
  waiters: Waiter[];
  asking: boolean;
}

/** What the limits need of the rest of the entry. */
export interface AccountLimitsParameters {
  self: string;
  /** Entries alive, this one included. */
  entries: () => string[];
  account: (name: string) => configuration.Account | undefined;
  limitScale: () => number;
  /** Sends to another entry; false when it cannot be reached. */
  send: (host: string, message: wire.Message) => Promise<boolean>;
}

/**
 * Limits of client accounts over all entries together, without a write per
 * request. Each account has an owner among the live entries, which holds its
 * bucket and lends credit to the others in portions. When the owner cannot be
 * reached, an entry gives out its own share, one part in the number of entries:
 * the sum stays within the limit.
 */
export class AccountLimits {
  readonly #local = new Map<string, LocalCredit>();
  readonly #owned: bucketShelf.BucketShelf;
  /** Buckets with this entry's own share, for when the owner is unreachable. */
  readonly #shares: bucketShelf.BucketShelf;
  readonly #grants = new Map<
    string,
    (
      grant: Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }>,
    ) => void
  >();

  constructor(readonly parameters: AccountLimitsParameters) {
    const rateOf = (account: string) => this.#rateOf(account);
    this.#owned = new bucketShelf.BucketShelf({ rateOf, share: () => 1 });
    this.#shares = new bucketShelf.BucketShelf({
      rateOf,
      share: () => 1 / Math.max(1, parameters.entries().length),
    });
  }

  /** Takes one request and its tokens from the account's limit. */
  take(account: string, tokens: number): Promise<LimitOutcome> {
    const local = this.#localOf(account);
    local.usedAt = common.now();
    return new Promise((resolve) => {
      local.waiters.push({ needed: { requests: 1, tokens }, resolve });
      if (!local.asking) void this.#serve(account, local);
    });
  }

  /** Corrects what was reserved by what was used; may leave a debt. */
  settle(account: string, reservedTokens: number, usedTokens: number): void {
    this.#localOf(account).tokens += reservedTokens - usedTokens;
  }

  /** Gives the reservation of a request back that did not run. */
  refund(account: string, tokens: number): void {
    const local = this.#localOf(account);
    local.requests += 1;
    local.tokens += tokens;
  }

  /** Handles credit messages of other entries. */
  handle(host: string, message: wire.Message): void {
    switch (message.kind) {
      case wire.MessageKind.CreditRequest:
        return this.#lend(host, message);
      case wire.MessageKind.CreditGrant:
        return this.#grants.get(message.account)?.(message);
      case wire.MessageKind.CreditReturn: {
        return this.#owned.bucket(message.account)?.giveBack(message);
      }
      default:
        return;
    }
  }

  /** Returns idle credit and forgets idle buckets; call about every second. */
  sweep(): void {
    const now = common.now();
    for (const [account, local] of this.#local) {
      const idle = now - local.usedAt > IDLE_MILLISECONDS;
      if (!idle || local.waiters.length > 0) continue;
      this.#local.delete(account);
      this.#giveBack(account, local);
    }
    this.#owned.sweep();
    this.#shares.sweep();
  }

  /** What the state dump says of limits. */
  describe(): unknown {
    return {
      owned: this.#owned.size,
      borrowing: Object.fromEntries(
        [...this.#local].map(([account, { requests, tokens }]) => [
          account,
          { requests, tokens: Math.round(tokens) },
        ]),
      ),
    };
  }

  #localOf(account: string): LocalCredit {
    const known = this.#local.get(account);
    if (known) return known;
    const fresh: LocalCredit = {
      requests: 0,
      tokens: 0,
      usedAt: common.now(),
      waiters: [],
      asking: false,
    };
    this.#local.set(account, fresh);
    return fresh;
  }

  /** Serves waiters in order, asking the owner whenever credit runs out. */
  async #serve(account: string, local: LocalCredit): Promise<void> {
    local.asking = true;
    while (local.waiters.length > 0) {
      const [waiter] = local.waiters;
      if (covers(local, waiter.needed)) {
        local.waiters.shift();
        local.requests -= waiter.needed.requests;
        local.tokens -= waiter.needed.tokens;
        waiter.resolve({ kind: "granted" });
        continue;
      }
      const wait = await this.#borrow(account, local);
      if (wait === undefined) continue;
      // Nothing more can be had now: all who wait are told when to come back.
      for (const refused of local.waiters.splice(0)) {
        if (covers(local, refused.needed)) {
          local.requests -= refused.needed.requests;
          local.tokens -= refused.needed.tokens;
          refused.resolve({ kind: "granted" });
          continue;
        }
        const retryAfterMilliseconds = wait;
        refused.resolve({ kind: "refused", retryAfterMilliseconds });
      }
    }
    local.asking = false;
  }

  /** Adds credit; returns the wait in milliseconds if none could be had. */
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
    const share = LENT_SECONDS / Math.max(1, this.parameters.entries().length);
    const waiting = sum(local.waiters.map((waiter) => waiter.needed));
    const wanted = {
      requests: Math.ceil(waiting.requests + rate.requests * share),
      tokens: waiting.tokens + rate.tokens * share,
    };
    const granted = await this.#ask(account, needed, wanted);
    if ("waitMilliseconds" in granted) return granted.waitMilliseconds;
    local.requests += granted.granted.requests;
    local.tokens += granted.granted.tokens;
    return undefined;
  }

  async #ask(
    account: string,
    needed: creditBucket.Credit,
    wanted: creditBucket.Credit,
  ): Promise<ReturnType<creditBucket.CreditBucket["take"]>> {
    const owner = this.#ownerOf(account);
    if (owner === this.parameters.self) {
      const bucket = this.#owned.bucket(account);
      return bucket?.take(needed, wanted) ?? { waitMilliseconds: 0 };
    }
    const grant = await this.#askOwner(owner, account, needed, wanted);
    if (grant === undefined) {
      const bucket = this.#shares.bucket(account);
      return bucket?.take(needed, needed) ?? { waitMilliseconds: 0 };
    }
    if (grant.requests === 0 && grant.tokens === 0) {
      return { waitMilliseconds: grant.retryAfter };
    }
    return { granted: grant };
  }

  async #askOwner(
    owner: string,
    account: string,
    needed: creditBucket.Credit,
    wanted: creditBucket.Credit,
  ): Promise<
    Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }> | undefined
  > {
    const kind = wire.MessageKind.CreditRequest;
    const answer = new Promise<
      Extract<wire.Message, { kind: wire.MessageKind.CreditGrant }>
    >((resolve) => this.#grants.set(account, resolve));
    const sent = await this.parameters.send(owner, {
      kind,
      account,
      requests: needed.requests,
      tokens: needed.tokens,
      wantedRequests: wanted.requests,
      wantedTokens: wanted.tokens,
    });
    if (!sent) return undefined;
    const grant = await common.withTimeout(answer, OWNER_TIMEOUT_MILLISECONDS);
    this.#grants.delete(account);
    return grant;
  }

  /** Lends to another entry out of a bucket owned here. */
  #lend(
    host: string,
    request: Extract<wire.Message, { kind: wire.MessageKind.CreditRequest }>,
  ): void {
    const { account } = request;
    const bucket = this.#owned.bucket(account);
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

  #giveBack(account: string, local: LocalCredit): void {
    const { requests, tokens } = local;
    if (requests === 0 && tokens === 0) return;
    const owner = this.#ownerOf(account);
    if (owner === this.parameters.self) {
      this.#owned.bucket(account)?.giveBack({ requests, tokens });
      return;
    }
    const kind = wire.MessageKind.CreditReturn;
    void this.parameters.send(owner, { kind, account, requests, tokens });
  }

  #ownerOf(account: string): string {
    const entries = this.parameters.entries();
    return common.rendezvous(account, entries) ?? this.parameters.self;
  }

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
    requests: credits.reduce((total, one) => total + one.requests, 0),
    tokens: credits.reduce((total, one) => total + one.tokens, 0),
  };
}
