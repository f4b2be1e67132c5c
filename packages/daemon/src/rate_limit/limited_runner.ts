import type * as common from "@geraniumkeel/common";
import * as retryPacing from "../admission/retry_pacing.ts";
import * as delegationsModule from "./delegations.ts";
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

/** Requests counted for operators. */
const USE_WINDOW_MILLISECONDS = 4_000;

/** One incarnation of a runner that has named a rate limit. */
export class LimitedRunner {
  readonly delegations = new delegationsModule.Delegations();
  /** Spaces the callers that are refused for this limit. */
  readonly retryPacing: retryPacing.RetryPacing;
  /** Before this time the allocator is not asked again. */
  nextAskAt = -Infinity;
  /** When the runner was last listed, or when its limit became known. */
  listedAt: number;
  readonly #pacer = new requestPacer.RequestPacer();
  #grantedAt: number[] = [];

  constructor(
    readonly incarnation: string,
    readonly runner: string,
    readonly service: string,
    public fact: rateLimitFact.RateLimitFact,
    clock: () => number,
  ) {
    this.listedAt = clock();
    this.retryPacing = new retryPacing.RetryPacing(clock);
  }

  /** Requests a second that all entries together may send. */
  get perSecond(): number {
    const { perSecond } = this.fact;
    return perSecond === undefined || perSecond >= MAX_REQUESTS_PER_SECOND
      ? Infinity
      : Math.max(perSecond, MIN_REQUESTS_PER_SECOND);
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

  #countGrant(now: number): void {
    const oldest = now - USE_WINDOW_MILLISECONDS;
    this.#grantedAt = this.#grantedAt.filter((at) => at > oldest);
    this.#grantedAt.push(now);
  }
}
