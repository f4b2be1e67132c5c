import * as common from "@geraniumkeel/common";
import * as retryPacing from "../admission/retry_pacing.ts";
import * as delegationsModule from "./delegations.ts";
import * as limitSource from "./limit_source.ts";
import * as rateLimitFact from "./rate_limit_fact.ts";
import * as requestPacer from "./request_pacer.ts";

/**
 * Lowest rate at which requests are sent to a runner, also if it names 0: only
 * an answer shows that a limit is over.
 */
const MIN_REQUESTS_PER_SECOND = 0.2;
/** Rate from which on a limit is none in practice, and is not enforced. */
const MAX_REQUESTS_PER_SECOND = 10_000;
/** Time for which the limit may be saved up while no request asks. */
const BURST_SECONDS = 0.2;
/** Requests that the majority's allocator may save up at least. */
const MIN_BURST = 2;
/**
 * Smallest part of all shares with which an entry allocates at all. Each
 * allocator may send one request at any time, and a runner expects no more than
 * five beyond its limit; a fifth bounds the number of allocators to five.
 */
const MIN_ALLOCATING_SHARE = 0.2;
/** Time after which a limit that nobody could allocate is tried again. */
const NO_SHARE_WAIT_MILLISECONDS = 300;

/**
 * Requests that may be saved up for a runner that warms up. In any second it may
 * get 1.5 times its rate and five more. Permits are granted at the rate; this
 * burst, the requests that are sent late and the hold-off below stay within the
 * rest (derivation: docs/design/warm-up.md).
 */
const WARM_UP_BURST = 2;
/** How far ahead of its turn a request may get a permit while a runner warms up. */
const WARM_UP_MAX_DELAY_MILLISECONDS = 100;
/**
 * Time within which a request must be sent once its permit is due, while the
 * runner warms up. What is sent late falls into one second with later requests.
 */
export const WARM_UP_VALIDITY_MILLISECONDS = 250;
/**
 * Time after an entry hears of a warm-up in which it neither grants permits nor
 * asks for any. What was sent before, without permits, falls into one second
 * with what is granted, and an allocator that has not heard of the warm-up yet
 * grants by the limit that the runner named.
 */
const WARM_UP_HOLD_OFF_MILLISECONDS = 1_000;

/** Requests counted for operators. */
const USE_WINDOW_MILLISECONDS = 4_000;

/** What is known of a limited runner when it becomes known. */
export interface LimitedRunnerParameters {
  incarnation: string;
  runner: string;
  service: string;
  fact: rateLimitFact.RateLimitFact;
  clock: () => number;
  /** Requests a second that it takes while it warms up; 0 for no bound. */
  warmUpRate?: () => number;
}

/** A warm-up that began or ended. */
export type WarmUpChange =
  { kind: "started" } | { kind: "ended"; milliseconds: number };

/** One incarnation of a runner that has named a rate limit, or warms up. */
export class LimitedRunner {
  readonly delegations = new delegationsModule.Delegations();
  /** Spaces the callers that are refused for this limit. */
  readonly retryPacing: retryPacing.RetryPacing;
  /** Before this time the allocator is not asked again. */
  nextAskAt = -Infinity;
  /** When the runner was last listed, or when its limit became known. */
  listedAt: number;
  /** Whether the list of runners says that it warms up. */
  isListedAsWarmingUp = false;
  /** When the list, or another entry, last said that it warms up. */
  warmUpToldAt: number;
  fact: rateLimitFact.RateLimitFact;
  /** When this entry began to enforce the bound of its warm-up. */
  #warmingUpSince: number | undefined;
  readonly #pacer = new requestPacer.RequestPacer();
  #grantedAt: number[] = [];

  constructor(readonly parameters: LimitedRunnerParameters) {
    const { clock, fact } = parameters;
    this.fact = fact;
    this.listedAt = clock();
    this.warmUpToldAt = this.listedAt;
    this.retryPacing = new retryPacing.RetryPacing(clock);
  }

  /** Name of this incarnation. */
  get incarnation(): string {
    return this.parameters.incarnation;
  }

  /** Identifier of the runner. */
  get runner(): string {
    return this.parameters.runner;
  }

  /** Service of the runner. */
  get service(): string {
    return this.parameters.service;
  }

  /** Requests a second that all entries together may send. */
  get perSecond(): number {
    const { perSecond = Infinity } = this.fact;
    const lower = Math.min(perSecond, this.#warmUpPerSecond);
    return lower >= MAX_REQUESTS_PER_SECOND
      ? Infinity
      : Math.max(lower, MIN_REQUESTS_PER_SECOND);
  }

  /** What sets the limit: of two, the lower one. */
  get source(): limitSource.LimitSource {
    const { perSecond = Infinity } = this.fact;
    return this.#warmUpPerSecond <= perSecond && this.isWarmingUp
      ? limitSource.LimitSource.WarmUp
      : limitSource.LimitSource.Named;
  }

  /** Whether it warms up and has a bound for that. */
  get isWarmingUp(): boolean {
    return this.#warmUpPerSecond < MAX_REQUESTS_PER_SECOND;
  }

  /** Requests a second that it takes while it warms up. */
  get #warmUpPerSecond(): number {
    if (!this.isListedAsWarmingUp) return Infinity;
    const rate = this.parameters.warmUpRate?.() ?? 0;
    return rate > 0 ? rate : Infinity;
  }

  /** Notes whether it warms up now; returns what changed since the last time. */
  noteWarmUp(now: number): WarmUpChange | undefined {
    const since = this.#warmingUpSince;
    if (this.isWarmingUp === (since !== undefined)) return undefined;
    this.nextAskAt = -Infinity;
    if (since === undefined) {
      this.#warmingUpSince = now;
      return { kind: "started" };
    }
    this.#warmingUpSince = undefined;
    return { kind: "ended", milliseconds: now - since };
  }

  /** Milliseconds left of the hold-off after its warm-up began; 0 for none. */
  holdOffMilliseconds(now: number): number {
    if (!this.isWarmingUp) return 0;
    const elapsed = now - (this.#warmingUpSince ?? now);
    return Math.max(0, WARM_UP_HOLD_OFF_MILLISECONDS - elapsed);
  }

  /** Milliseconds since what sets the limit was heard. */
  ageMilliseconds(now: common.Instant): number {
    switch (this.source) {
      case limitSource.LimitSource.Named:
        return common.ageOf(this.fact.receivedAt, now);
      case limitSource.LimitSource.WarmUp:
        return now.monotonic - (this.#warmingUpSince ?? now.monotonic);
    }
  }

  /** Whether a limit is in force. */
  get isLimited(): boolean {
    return Number.isFinite(this.perSecond);
  }

  /** Applies a fact; returns whether the known one was replaced. */
  apply(fact: rateLimitFact.RateLimitFact, now: common.Instant): boolean {
    if (!rateLimitFact.replaces(fact, this.fact, now)) return false;
    this.fact = fact;
    return true;
  }

  /**
   * Schedules a request by the part of the limit, from 0 to 1, that this entry
   * allocates.
   */
  schedule(parameters: {
    share: number;
    now: number;
    maxDelayMilliseconds: number;
  }): requestPacer.PacerAnswer {
    const { share, now, maxDelayMilliseconds } = parameters;
    if (share < MIN_ALLOCATING_SHARE) {
      return { kind: "denied", waitMilliseconds: NO_SHARE_WAIT_MILLISECONDS };
    }
    if (this.isWarmingUp)
      return this.#scheduleWarmingUp(now, maxDelayMilliseconds);
    const burst =
      share > 0.5 ? Math.max(MIN_BURST, this.perSecond * BURST_SECONDS) : 1;
    const answer = this.#pacer.schedule({
      perSecond: this.perSecond * share,
      burst,
      now,
      maxDelayMilliseconds,
    });
    if (answer.kind === "granted") this.#countGrant(now);
    return answer;
  }

  /** Milliseconds until the whole limit has room for a request. */
  waitMilliseconds(now: number): number {
    return this.#pacer.waitMilliseconds(now);
  }

  /** Requests that this entry allowed in the last seconds, per second. */
  grantedPerSecond(now: number): number {
    const oldest = now - USE_WINDOW_MILLISECONDS;
    const count = this.#grantedAt.filter((at) => at > oldest).length;
    return (count * 1_000) / USE_WINDOW_MILLISECONDS;
  }

  #scheduleWarmingUp(
    now: number,
    maxDelayMilliseconds: number,
  ): requestPacer.PacerAnswer {
    const holdOff = this.holdOffMilliseconds(now);
    if (holdOff > 0) return { kind: "denied", waitMilliseconds: holdOff };
    const answer = this.#pacer.schedule({
      perSecond: this.perSecond,
      burst: WARM_UP_BURST,
      now,
      maxDelayMilliseconds: Math.min(
        maxDelayMilliseconds,
        WARM_UP_MAX_DELAY_MILLISECONDS,
      ),
    });
    if (answer.kind === "granted") this.#countGrant(now);
    return answer;
  }

  #countGrant(now: number): void {
    const oldest = now - USE_WINDOW_MILLISECONDS;
    this.#grantedAt = this.#grantedAt.filter((at) => at > oldest);
    this.#grantedAt.push(now);
  }
}
