import * as common from "@geraniumkeel/common";
import * as accountFlow from "./account_flow.ts";
import * as rateWindow from "./rate_window.ts";
import * as retryPacing from "./retry_pacing.ts";
import * as surgeReserve from "./surge_reserve.ts";

/** A request that asks for a runner. */
export interface WaitingRequest<R> {
  account: string;
  /** Weight of the account in fair queueing. */
  weight: number;
  /** Cost of the request in text tokens. */
  cost: number;
  /** From 0, the most urgent, to 7 (RFC 9218). */
  urgency: number;
  /** Deadline in milliseconds by this process's clock. */
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /**
   * Whether the queue admitted the request before, and it returned for a reason
   * that is not its own, such as a full runner.
   */
  wasAdmitted: boolean;
  /**
   * Reserves a runner that has room within this share of its capacity, from 0
   * to 1; returns `undefined` if there is none.
   */
  takeRunner: (capacityShare: number) => R | undefined;
}

/** Result of asking for a runner. */
export type QueueOutcome<R> =
  | { kind: "admitted"; runner: R; waitedMilliseconds: number }
  /** The queue is full; the caller should retry after this time. */
  | { kind: "full"; retryAfterMilliseconds: number }
  /** The deadline is too near; the caller should retry after this time. */
  | { kind: "too-late"; retryAfterMilliseconds: number }
  | { kind: "caller-gone" };

/** A request in the queue. */
interface QueuedRequest<R> extends WaitingRequest<R> {
  queuedAt: number;
  finish: (outcome: QueueOutcome<R>) => void;
}

/** Window over which the rate of admissions is measured. */
const RATE_WINDOW_MILLISECONDS = 2_000;
/** Accounts that the queue tries without finding a runner before it stops. */
const MAX_SKIPPED_ACCOUNTS = 4;

/**
 * Queue of one service's requests at one entry. Start-time fair queueing shares
 * the runners among the accounts: an account with many requests waits behind
 * its own requests and does not delay the small accounts. Within an account,
 * more urgent requests go first. Requests of less than the default urgency may
 * use only a part of each runner's capacity while a surge is expected, and a
 * full queue refuses them in favour of more urgent ones.
 */
export class ServiceQueue<R> {
  /** Waiting requests by account. */
  readonly #flows = new Map<
    string,
    accountFlow.AccountFlow<QueuedRequest<R>>
  >();
  readonly #admissionRate: rateWindow.RateWindow;
  readonly #now: () => number;
  readonly #retryPacing: retryPacing.RetryPacing;
  /** Highest start tag that has been served. */
  #virtualTime = 0;
  #length = 0;
  /** Number of waiting requests of less than the default urgency. */
  #lowUrgencyCount = 0;

  constructor(
    readonly parameters: {
      /** Requests that may wait at once. */
      limit: () => number;
      clock?: () => number;
      /** Called when a request starts to wait. */
      onWaiting?: () => void;
      /** Capacity that less urgent requests leave free; none if omitted. */
      reserve?: surgeReserve.SurgeReserve;
    },
  ) {
    this.#now = parameters.clock ?? common.now;
    this.#retryPacing = new retryPacing.RetryPacing(this.#now);
    this.#admissionRate = new rateWindow.RateWindow(
      RATE_WINDOW_MILLISECONDS,
      this.#now,
    );
  }

  /** Number of requests waiting. */
  get length(): number {
    return this.#length;
  }

  /**
   * Milliseconds until all requests that wait now will have been admitted; 0 if
   * none was admitted recently.
   */
  get estimatedWait(): number {
    if (this.#length === 0) return 0;
    const requestsPerMillisecond = this.#admissionRate.perMillisecond;
    return requestsPerMillisecond > 0
      ? this.#length / requestsPerMillisecond
      : 0;
  }

  /**
   * Admits a request at once if it finds a runner, and otherwise queues it. If
   * the queue is full, or the request would miss its deadline, it is refused at
   * once.
   */
  enter(
    request: WaitingRequest<R>,
  ): Promise<QueueOutcome<R>> | QueueOutcome<R> {
    if (request.signal.aborted) return { kind: "caller-gone" };
    if (!request.wasAdmitted)
      this.parameters.reserve?.countRequest(request.urgency);
    if (this.#maySkipQueue(request)) {
      const runner = request.takeRunner(this.#capacityShare(request));
      if (runner !== undefined) return this.#admit(runner, 0);
    }
    if (this.#isFull && !request.wasAdmitted && !this.#makeRoomFor(request)) {
      const retryAfterMilliseconds = this.#nextRetryDelay(this.estimatedWait);
      return { kind: "full", retryAfterMilliseconds };
    }
    const waitMilliseconds = this.#expectedWaitOf(request);
    if (this.#now() + waitMilliseconds > request.deadline) {
      const pacedDelayMilliseconds = this.#nextRetryDelay(waitMilliseconds);
      return {
        kind: "too-late",
        retryAfterMilliseconds: Math.max(
          waitMilliseconds,
          pacedDelayMilliseconds,
        ),
      };
    }
    return new Promise((resolve) => this.#insert(request, resolve));
  }

  /**
   * Refuses the waiting requests whose deadline has passed and admits as many
   * of the others as find a runner.
   */
  admitWaiting(): void {
    if (this.#length === 0) return;
    this.#removeExpired();
    while (this.#admitNext());
  }

  get #isFull(): boolean {
    return this.#length >= this.parameters.limit();
  }

  /** Milliseconds after which the next refused caller should retry. */
  #nextRetryDelay(queueMilliseconds: number): number {
    const requestsPerMillisecond = this.#admissionRate.perMillisecond;
    return this.#retryPacing.nextDelayMilliseconds({
      queueMilliseconds,
      requestsPerMillisecond,
    });
  }

  /**
   * Milliseconds that a new request would wait. Under fair queueing it waits
   * for the requests of its own account, and for as many of each other account.
   */
  #expectedWaitOf(request: WaitingRequest<R>): number {
    const ownCount = this.#flows.get(request.account)?.length ?? 0;
    let requestsAhead = 0;
    for (const flow of this.#flows.values()) {
      requestsAhead += Math.min(flow.length, ownCount + 1);
    }
    const requestsPerMillisecond = this.#admissionRate.perMillisecond;
    return requestsPerMillisecond > 0
      ? requestsAhead / requestsPerMillisecond
      : 0;
  }

  /**
   * Whether a new request may ask for a runner before those that wait: none
   * waits, or a surge is expected and all that wait are less urgent.
   */
  #maySkipQueue({ urgency }: WaitingRequest<R>): boolean {
    if (this.#length === 0) return true;
    const onlyLowUrgency = this.#lowUrgencyCount === this.#length;
    if (!onlyLowUrgency || isLowUrgency(urgency)) return false;
    return this.parameters.reserve?.expectsSurge ?? false;
  }

  #capacityShare({ urgency }: WaitingRequest<R>): number {
    return this.parameters.reserve?.capacityShare(urgency) ?? 1;
  }

  /**
   * Makes room in a full queue by refusing a less urgent request: the last one
   * of the longest flow that ends in such a request. Returns false if there is
   * none, or if the new request is itself less urgent.
   */
  #makeRoomFor({ urgency }: WaitingRequest<R>): boolean {
    if (this.#lowUrgencyCount === 0 || isLowUrgency(urgency)) return false;
    const longestFlow = [...this.#flows.values()]
      .filter((flow) => isLowUrgency(flow.last?.urgency ?? 0))
      .reduce((left, right) => (right.length > left.length ? right : left));
    const { last: evicted } = longestFlow;
    if (!evicted) return false;
    this.#remove(longestFlow, evicted);
    const retryAfterMilliseconds = this.#nextRetryDelay(this.estimatedWait);
    evicted.finish({ kind: "full", retryAfterMilliseconds });
    return true;
  }

  /**
   * Admits the first request of the account with the lowest start tag. If it
   * finds no runner, tries the accounts after it. Returns whether a request was
   * admitted.
   */
  #admitNext(): boolean {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.length > 0)
      .sort((left, right) => left.startTag - right.startTag);
    let skippedAccounts = 0;
    let isUnreservedCapacityFull = false;
    for (const flow of flows) {
      if (skippedAccounts === MAX_SKIPPED_ACCOUNTS) return false;
      const request = flow.head;
      if (!request) continue;
      const capacityShare = this.#capacityShare(request);
      if (capacityShare < 1 && isUnreservedCapacityFull) continue;
      const runner = request.takeRunner(capacityShare);
      if (runner === undefined) {
        // A request that may use only a part of the capacity does not count as
        // skipped: many of them must not hide one that may use all of it.
        if (capacityShare < 1) isUnreservedCapacityFull = true;
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
    this.#admissionRate.count();
    return { kind: "admitted", runner, waitedMilliseconds };
  }

  #insert(
    enteringRequest: WaitingRequest<R>,
    resolve: (outcome: QueueOutcome<R>) => void,
  ): void {
    const { account } = enteringRequest;
    const flow =
      this.#flows.get(account) ??
      new accountFlow.AccountFlow(this.#virtualTime);
    this.#flows.set(account, flow);
    // While it has no requests waiting, an account does not save up service.
    if (flow.length === 0)
      flow.startTag = Math.max(flow.startTag, this.#virtualTime);
    const onCallerGone = () => {
      if (this.#remove(flow, request)) request.finish({ kind: "caller-gone" });
    };
    const request: QueuedRequest<R> = {
      ...enteringRequest,
      queuedAt: this.#now(),
      finish: (outcome) => {
        enteringRequest.signal.removeEventListener("abort", onCallerGone);
        resolve(outcome);
      },
    };
    enteringRequest.signal.addEventListener("abort", onCallerGone, {
      once: true,
    });
    flow.add(request);
    this.#length++;
    if (isLowUrgency(request.urgency)) this.#lowUrgencyCount++;
    this.parameters.onWaiting?.();
  }

  #remove(
    flow: accountFlow.AccountFlow<QueuedRequest<R>>,
    request: QueuedRequest<R>,
  ): boolean {
    if (!flow.remove(request)) return false;
    this.#length--;
    if (isLowUrgency(request.urgency)) this.#lowUrgencyCount--;
    return true;
  }

  /**
   * Refuses the requests whose deadline has passed and drops the flows that are
   * empty and whose start tag is not ahead of the virtual time.
   */
  #removeExpired(): void {
    const now = this.#now();
    for (const [account, flow] of this.#flows) {
      const expired = flow.requests.filter(
        (request) => request.deadline <= now,
      );
      for (const request of expired) {
        this.#remove(flow, request);
        const retryAfterMilliseconds = now - request.queuedAt;
        request.finish({ kind: "too-late", retryAfterMilliseconds });
      }
      const isIdle = flow.length === 0 && flow.startTag <= this.#virtualTime;
      if (isIdle) this.#flows.delete(account);
    }
  }
}

function isLowUrgency(urgency: number): boolean {
  return urgency > surgeReserve.DEFAULT_URGENCY;
}

/**
 * Virtual time by which a request advances its account's start tag. A request
 * that was admitted before is not charged again. Every two levels of lower
 * urgency double the cost.
 */
function virtualCost(request: WaitingRequest<unknown>): number {
  if (request.wasAdmitted) return 0;
  const relativeUrgency = request.urgency - surgeReserve.DEFAULT_URGENCY;
  return (request.cost * Math.pow(2, relativeUrgency / 2)) / request.weight;
}
