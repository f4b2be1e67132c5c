import * as common from "@geraniumkeel/common";
import * as accountFlow from "./account_flow.ts";
import * as rateWindow from "./rate_window.ts";
import * as retryPacing from "./retry_pacing.ts";
import * as surgeReserve from "./surge_reserve.ts";

/**
 * A request that enters the queue. It may be admitted at once, wait or be
 * refused.
 */
export interface WaitingRequest<R> {
  account: string;
  /**
   * Weight of the account in fair queueing; with a greater one it gets more.
   */
  weight: number;
  /** Tokens of the prompt plus those expected in the answer. */
  cost: number;
  /** From 0, the most urgent, to 7 (RFC 9218). */
  urgency: number;
  /**
   * Deadline of the request in milliseconds by this process's clock. The queue
   * refuses a request that it cannot admit, or does not expect to admit, before
   * this time.
   */
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
  /**
   * Whether the queue admitted an earlier attempt of this request, which then
   * did not start or did not complete, for example because the runner was full.
   * That can happen although `takeRunner` checks for room: the requests that
   * other entries sent to the runner since its last load report are unknown
   * here.
   */
  wasAdmitted: boolean;
  /**
   * Chooses a runner that has room within this share of its capacity, from 0 to
   * 1, and reserves room for this one request there. Returns `undefined` if no
   * runner has room.
   */
  takeRunner: (capacityShare: number) => R | undefined;
}

/** Result of asking for a runner. */
export type QueueOutcome<R> =
  | { kind: "admitted"; runner: R; waitedMilliseconds: number }
  /** The queue is full; the caller should retry after this time. */
  | { kind: "full"; retryAfterMilliseconds: number }
  /**
   * The request was not expected to be admitted before its deadline, or its
   * deadline passed while it waited; the caller should retry after this time.
   */
  | { kind: "too-late"; retryAfterMilliseconds: number }
  | { kind: "caller-gone" };

/** A request that waits in the queue. */
interface QueuedRequest<R> extends WaitingRequest<R> {
  queuedAt: number;
  finish: (outcome: QueueOutcome<R>) => void;
}

/** Window over which the rate of admissions is measured. */
const RATE_WINDOW_MILLISECONDS = 2_000;
/**
 * After this many accounts whose request found no runner, `#admitNext` tries no
 * other account.
 */
const MAX_SKIPPED_ACCOUNTS = 4;

/**
 * Queue of the requests for one service at one entry. Start-time fair queueing
 * shares the runners among the accounts: an account with many requests waits
 * behind its own requests and does not delay the small accounts. Within an
 * account, more urgent requests go first. Between accounts, urgency only
 * changes what a request costs its account (see `virtualCost`).
 *
 * Requests of less than the default urgency are called low-urgency; the number
 * of their urgency is greater than `DEFAULT_URGENCY`. While a surge is
 * expected, they may use only a part of each runner's capacity. At any time, a
 * full queue refuses a waiting low-urgency request to make room for one that is
 * not.
 */
export class ServiceQueue<R> {
  /** Waiting requests by account, one flow for each account. */
  readonly #flows = new Map<
    string,
    accountFlow.AccountFlow<QueuedRequest<R>>
  >();
  readonly #admissionRate: rateWindow.RateWindow;
  readonly #now: () => number;
  readonly #retryPacing: retryPacing.RetryPacing;
  /**
   * Highest start tag that an account had when a request of it was admitted.
   */
  #virtualTime = 0;
  #length = 0;
  /** Number of waiting low-urgency requests. */
  #lowUrgencyCount = 0;

  constructor(
    readonly parameters: {
      /** Requests that may wait at once. */
      limit: () => number;
      clock?: () => number;
      /** Called when a request starts to wait. */
      onWaiting?: () => void;
      /**
       * Decides how much capacity low-urgency requests may use; all of it if
       * omitted.
       */
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
   * Expected milliseconds until all waiting requests will have been admitted.
   * It is 0 if none was admitted recently, because the rate is then unknown: a
   * queue that admits nothing reports 0 as an empty one does.
   */
  get estimatedWait(): number {
    if (this.#length === 0) return 0;
    const requestsPerMillisecond = this.#admissionRate.perMillisecond;
    return requestsPerMillisecond > 0
      ? this.#length / requestsPerMillisecond
      : 0;
  }

  /**
   * Admits a request at once if it may skip the queue and finds a runner;
   * otherwise queues or refuses it. A full queue refuses the request, unless it
   * was admitted before or the queue can refuse a low-urgency request in its
   * place. A request that is expected to miss its deadline is refused as well.
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
      // The paced delay is limited, the expected wait is not. The caller gets
      // the longer of the two.
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
   * Refuses the waiting requests whose deadline has passed, then admits others
   * one by one until `#admitNext` finds no runner.
   */
  admitWaiting(): void {
    if (this.#length === 0) return;
    this.#removeExpired();
    while (this.#admitNext());
  }

  get #isFull(): boolean {
    return this.#length >= this.parameters.limit();
  }

  /**
   * Milliseconds after which the next refused caller should retry, if the queue
   * needs `queueMilliseconds` to admit the requests before it.
   */
  #nextRetryDelay(queueMilliseconds: number): number {
    const requestsPerMillisecond = this.#admissionRate.perMillisecond;
    return this.#retryPacing.nextDelayMilliseconds({
      queueMilliseconds,
      requestsPerMillisecond,
    });
  }

  /**
   * Expected milliseconds until a new request would be admitted; 0 if none was
   * admitted recently. The request waits for those of its own account. Of each
   * other account, the estimate counts at most one more than these, because
   * fair queueing admits about one request of each other account for each of
   * these and one for the new request. The estimate ignores the weights of the
   * accounts and the costs and urgencies of the requests.
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
   * Whether a new request may ask for a runner before the waiting requests. It
   * may if none is waiting. While a surge is expected, a request that is not
   * low-urgency may also pass low-urgency ones if no others are waiting:
   * low-urgency requests may be waiting although the reserved capacity is free.
   */
  #maySkipQueue({ urgency }: WaitingRequest<R>): boolean {
    if (this.#length === 0) return true;
    const onlyLowUrgency = this.#lowUrgencyCount === this.#length;
    if (!onlyLowUrgency || isLowUrgency(urgency)) return false;
    return this.parameters.reserve?.expectsSurge ?? false;
  }

  /** Share of each runner's capacity that a request may use, from 0 to 1. */
  #capacityShare({ urgency }: WaitingRequest<R>): number {
    return this.parameters.reserve?.capacityShare(urgency) ?? 1;
  }

  /**
   * Makes room in a full queue by refusing a waiting low-urgency request. Of
   * the accounts that have one, it takes the account with the most waiting
   * requests and refuses the last of these. Returns false if no low-urgency
   * request is waiting, or if the new request is low-urgency itself.
   */
  #makeRoomFor({ urgency }: WaitingRequest<R>): boolean {
    if (this.#lowUrgencyCount === 0 || isLowUrgency(urgency)) return false;
    // The last request of a flow is its least urgent one. So the filter keeps
    // the flows that contain a low-urgency request, and there is at least one
    // such flow. An empty flow counts as 0, the most urgent.
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
   * Admits one request: the first one of the account with the lowest start tag.
   * If this request finds no runner, the queue tries the first request of the
   * account with the next higher start tag, and so on. Returns whether a
   * request was admitted.
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
        // A request that may use only the unreserved capacity does not count as
        // skipped: many of them must not use up the tries before it is the turn
        // of one that may use all capacity. After the first of them finds no
        // runner, the others are not tried in this call.
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
    // An account gains nothing by the time in which it had no waiting requests:
    // its start tag is at least the present virtual time.
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
   * Refuses the requests whose deadline has passed and removes idle flows. An
   * empty flow stays while its start tag is greater than the virtual time: a
   * new flow would start at the virtual time, and the account would not be
   * charged for its last requests.
   */
  #removeExpired(): void {
    const now = this.#now();
    for (const [account, flow] of this.#flows) {
      const expired = flow.requests.filter(
        (request) => request.deadline <= now,
      );
      for (const request of expired) {
        this.#remove(flow, request);
        // The delay reported to the caller is the time that the request waited;
        // it is not paced.
        const retryAfterMilliseconds = now - request.queuedAt;
        request.finish({ kind: "too-late", retryAfterMilliseconds });
      }
      const isIdle = flow.length === 0 && flow.startTag <= this.#virtualTime;
      if (isIdle) this.#flows.delete(account);
    }
  }
}

/** Whether a request is less urgent than the default; 7 is least urgent. */
function isLowUrgency(urgency: number): boolean {
  return urgency > surgeReserve.DEFAULT_URGENCY;
}

/**
 * Virtual time by which a request advances its account's start tag. A request
 * that was admitted before is not charged again. The cost is the request's own
 * at the default urgency; it doubles with every two levels of lower urgency and
 * halves with every two levels of higher urgency.
 */
function virtualCost(request: WaitingRequest<unknown>): number {
  if (request.wasAdmitted) return 0;
  const relativeUrgency = request.urgency - surgeReserve.DEFAULT_URGENCY;
  return (request.cost * Math.pow(2, relativeUrgency / 2)) / request.weight;
}
