import * as common from "@geraniumkeel/common";
import * as accountFlow from "./account_flow.ts";
import * as rateWindow from "./rate_window.ts";
import * as retryPacing from "./retry_pacing.ts";
import * as surgeReserve from "./surge_reserve.ts";

/** A request waiting for a runner. */
export interface WaitingRequest<R> {
  account: string;
  /** Share of service of the account. */
  weight: number;
  /** Cost in tokens. */
  cost: number;
  /** 0 is most urgent, 7 least. */
  urgency: number;
  /** Deadline by this process's clock. */
  deadline: number;
  signal: AbortSignal;
  /** It had its turn before, and comes back for no fault of its own. */
  wasAdmitted: boolean;
  /** Takes a runner that has room in this part of its whole room. */
  takeRunner: (capacityShare: number) => R | undefined;
}

/** What became of a request that asked for a runner. */
export type QueueOutcome<R> =
  | { kind: "admitted"; runner: R; waitedMilliseconds: number }
  /** No room; `waitMilliseconds` is when to come back. */
  | { kind: "full"; retryAfterMilliseconds: number }
  /** It would miss its deadline; `waitMilliseconds` is when to come back. */
  | { kind: "too-late"; retryAfterMilliseconds: number }
  | { kind: "caller-gone" };

interface QueuedRequest<R> extends WaitingRequest<R> {
  queuedAt: number;
  finish: (outcome: QueueOutcome<R>) => void;
}

const RATE_WINDOW_MILLISECONDS = 2_000;
/** Accounts whose next request is tried when the first finds no runner. */
const MAX_SKIPPED_ACCOUNTS = 4;

/**
 * Requests of one service waiting at one entry, served by start-time fair
 * queueing over accounts: a large account queues behind its own requests, and
 * not the small ones behind it. Within an account, urgent ones go first. Less
 * urgent ones leave room where a surge is expected, and their places in a full
 * queue to others.
 */
export class ServiceQueue<R> {
  readonly #flows = new Map<
    string,
    accountFlow.AccountFlow<QueuedRequest<R>>
  >();
  readonly #admissions: rateWindow.RateWindow;
  readonly #now: () => number;
  readonly #retryPacing: retryPacing.RetryPacing;
  #virtualTime = 0;
  #length = 0;
  /** Of those waiting, how many are less urgent than usual. */
  #lessUrgentCount = 0;

  constructor(
    readonly parameters: {
      limit: () => number;
      clock?: () => number;
      /** Called when a request begins to wait. */
      onWaiting?: () => void;
      /** What is kept free of less urgent requests; nothing if left out. */
      reserve?: surgeReserve.SurgeReserve;
    },
  ) {
    this.#now = parameters.clock ?? common.now;
    this.#retryPacing = new retryPacing.RetryPacing(this.#now);
    this.#admissions = new rateWindow.RateWindow(
      RATE_WINDOW_MILLISECONDS,
      this.#now,
    );
  }

  /** Requests waiting. */
  get length(): number {
    return this.#length;
  }

  /** Estimated wait of a request that comes now, in milliseconds. */
  get estimatedWait(): number {
    if (this.#length === 0) return 0;
    const rate = this.#admissions.perMillisecond;
    return rate > 0 ? this.#length / rate : 0;
  }

  /** Waits for a runner, or refuses at once what cannot be served in time. */
  enter(
    request: WaitingRequest<R>,
  ): Promise<QueueOutcome<R>> | QueueOutcome<R> {
    if (request.signal.aborted) return { kind: "caller-gone" };
    if (!request.wasAdmitted) this.parameters.reserve?.count(request.urgency);
    if (this.#maySkipQueue(request)) {
      const runner = request.takeRunner(this.#capacityShare(request));
      if (runner !== undefined) return this.#admit(runner, 0);
    }
    if (this.#isFull && !request.wasAdmitted && !this.#makeRoomFor(request)) {
      const retryAfterMilliseconds = this.#nextRetryDelay(this.estimatedWait);
      return { kind: "full", retryAfterMilliseconds };
    }
    const waitMilliseconds = this.#expectedWait(request);
    if (this.#now() + waitMilliseconds > request.deadline) {
      const retryDelayMilliseconds = this.#nextRetryDelay(waitMilliseconds);
      return {
        kind: "too-late",
        retryAfterMilliseconds: Math.max(
          waitMilliseconds,
          retryDelayMilliseconds,
        ),
      };
    }
    return new Promise((resolve) => this.#insert(request, resolve));
  }

  /** Admits as many as find a runner; refuses those past their deadline. */
  admitWaiting(): void {
    if (this.#length === 0) return;
    this.#dropExpired();
    while (this.#admitNext());
  }

  get #isFull(): boolean {
    return this.#length >= this.parameters.limit();
  }

  #nextRetryDelay(queueMilliseconds: number): number {
    const requestsPerMillisecond = this.#admissions.perMillisecond;
    return this.#retryPacing.nextDelayMilliseconds({
      queueMilliseconds,
      requestsPerMillisecond,
    });
  }

  /**
   * Under fair queueing an account waits for its own requests, and for as many
   * of each other account that has any waiting.
   */
  #expectedWait(request: WaitingRequest<R>): number {
    const ownCount = this.#flows.get(request.account)?.length ?? 0;
    let requestsAhead = 0;
    for (const flow of this.#flows.values()) {
      requestsAhead += Math.min(flow.length, ownCount + 1);
    }
    const rate = this.#admissions.perMillisecond;
    return rate > 0 ? requestsAhead / rate : 0;
  }

  /** Whether nobody waits who would have to be served first. */
  #maySkipQueue({ urgency }: WaitingRequest<R>): boolean {
    if (this.#length === 0) return true;
    const onlyLessUrgent = this.#lessUrgentCount === this.#length;
    if (!onlyLessUrgent || isLessUrgent(urgency)) return false;
    return this.parameters.reserve?.expected ?? false;
  }

  #capacityShare({ urgency }: WaitingRequest<R>): number {
    return this.parameters.reserve?.capacityShare(urgency) ?? 1;
  }

  /**
   * Makes place in a full queue by refusing one that nobody waits for: the last
   * of the account that has most waiting. False if there is none.
   */
  #makeRoomFor({ urgency }: WaitingRequest<R>): boolean {
    if (this.#lessUrgentCount === 0 || isLessUrgent(urgency)) return false;
    const longestFlow = [...this.#flows.values()]
      .filter((flow) => isLessUrgent(flow.last?.urgency ?? 0))
      .reduce((left, right) => (right.length > left.length ? right : left));
    const { last: evicted } = longestFlow;
    if (!evicted) return false;
    this.#remove(longestFlow, evicted);
    const retryAfterMilliseconds = this.#nextRetryDelay(this.estimatedWait);
    evicted.finish({
      kind: "full",
      retryAfterMilliseconds,
    });
    return true;
  }

  /** Serves the account whose turn it is, or one of the next ones. */
  #admitNext(): boolean {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.length > 0)
      .sort((left, right) => left.startTag - right.startTag);
    let skippedAccounts = 0;
    let isReducedCapacityFull = false;
    for (const flow of flows) {
      if (skippedAccounts === MAX_SKIPPED_ACCOUNTS) return false;
      const request = flow.head;
      if (!request) continue;
      const capacityShare = this.#capacityShare(request);
      if (capacityShare < 1 && isReducedCapacityFull) continue;
      const runner = request.takeRunner(capacityShare);
      if (runner === undefined) {
        // Those who may use a part only do not use up the looks of others.
        if (capacityShare < 1) isReducedCapacityFull = true;
        else skippedAccounts++;
        continue;
      }
      this.#remove(flow, request);
      this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
      flow.startTag += virtualCost(request);
      request.finish(this.#admit(runner, this.#now() - request.queuedAt));
      return true;
    }
    return false;
  }

  #admit(runner: R, waitedMilliseconds: number): QueueOutcome<R> {
    this.#admissions.count();
    return { kind: "admitted", runner, waitedMilliseconds };
  }

  #insert(
    waiting: WaitingRequest<R>,
    resolve: (outcome: QueueOutcome<R>) => void,
  ): void {
    const { account } = waiting;
    const flow =
      this.#flows.get(account) ??
      new accountFlow.AccountFlow(this.#virtualTime);
    this.#flows.set(account, flow);
    // An account that was away does not save up turns.
    if (flow.length === 0)
      flow.startTag = Math.max(flow.startTag, this.#virtualTime);
    const onCallerGone = () => {
      if (this.#remove(flow, request)) request.finish({ kind: "caller-gone" });
    };
    const request: QueuedRequest<R> = {
      ...waiting,
      queuedAt: this.#now(),
      finish: (outcome) => {
        waiting.signal.removeEventListener("abort", onCallerGone);
        resolve(outcome);
      },
    };
    waiting.signal.addEventListener("abort", onCallerGone, { once: true });
    flow.add(request);
    this.#length++;
    if (isLessUrgent(request.urgency)) this.#lessUrgentCount++;
    this.parameters.onWaiting?.();
  }

  #remove(
    flow: accountFlow.AccountFlow<QueuedRequest<R>>,
    request: QueuedRequest<R>,
  ): boolean {
    if (!flow.remove(request)) return false;
    this.#length--;
    if (isLessUrgent(request.urgency)) this.#lessUrgentCount--;
    return true;
  }

  #dropExpired(): void {
    const now = this.#now();
    for (const [account, flow] of this.#flows) {
      const expired = flow.requests.filter(
        (request) => request.deadline <= now,
      );
      for (const request of expired) {
        this.#remove(flow, request);
        const retryAfterMilliseconds = now - request.queuedAt;
        request.finish({
          kind: "too-late",
          retryAfterMilliseconds,
        });
      }
      const isIdle = flow.length === 0 && flow.startTag <= this.#virtualTime;
      if (isIdle) this.#flows.delete(account);
    }
  }
}

function isLessUrgent(urgency: number): boolean {
  return urgency > surgeReserve.DEFAULT_URGENCY;
}

/** How far a request moves its account back; once, if it comes back itself. */
function virtualCost(request: WaitingRequest<unknown>): number {
  if (request.wasAdmitted) return 0;
  const relativeUrgency = request.urgency - surgeReserve.DEFAULT_URGENCY;
  return (request.cost * Math.pow(2, relativeUrgency / 2)) / request.weight;
}
