import * as common from "@geraniumkeel/common";
import * as accountFlow from "./account_flow.ts";
import * as rateWindow from "./rate_window.ts";
import * as returnPacing from "./return_pacing.ts";
import * as surgeReserve from "./surge_reserve.ts";

/** A request waiting for a runner. */
export interface Waiting<R> {
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
  take: (roomShare: number) => R | undefined;
}

/** What became of a request that asked for a runner. */
export type QueueOutcome<R> =
  | { kind: "admitted"; runner: R; waitedMilliseconds: number }
  /** No room; `waitMilliseconds` is when to come back. */
  | { kind: "full"; waitMilliseconds: number }
  /** It would miss its deadline; `waitMilliseconds` is when to come back. */
  | { kind: "too-late"; waitMilliseconds: number }
  | { kind: "caller-gone" };

interface Item<R> extends Waiting<R> {
  queuedAt: number;
  settle: (outcome: QueueOutcome<R>) => void;
}

const RATE_WINDOW_MILLISECONDS = 2_000;
/** Accounts whose next request is tried when the first finds no runner. */
const LOOK_PAST = 4;

/**
 * Requests of one service waiting at one entry, served by start-time fair
 * queueing over accounts: a large account queues behind its own requests, and
 * not the small ones behind it. Within an account, urgent ones go first. Less
 * urgent ones leave room where a surge is expected, and their places in a full
 * queue to others.
 */
export class ServiceQueue<R> {
  readonly #flows = new Map<string, accountFlow.AccountFlow<Item<R>>>();
  readonly #admissions: rateWindow.RateWindow;
  readonly #now: () => number;
  readonly #returns: returnPacing.ReturnPacing;
  #virtualTime = 0;
  #length = 0;
  /** Of those waiting, how many are less urgent than usual. */
  #lessUrgent = 0;

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
    this.#returns = new returnPacing.ReturnPacing(this.#now);
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
  enter(waiting: Waiting<R>): Promise<QueueOutcome<R>> | QueueOutcome<R> {
    if (waiting.signal.aborted) return { kind: "caller-gone" };
    if (!waiting.wasAdmitted) this.parameters.reserve?.count(waiting.urgency);
    if (this.#mayPass(waiting)) {
      const runner = waiting.take(this.#roomShare(waiting));
      if (runner !== undefined) return this.#admit(runner, 0);
    }
    if (this.#isFull && !waiting.wasAdmitted && !this.#giveWay(waiting)) {
      const waitMilliseconds = this.#timeToReturn(this.estimatedWait);
      return { kind: "full", waitMilliseconds };
    }
    const waitMilliseconds = this.#expectedWait(waiting);
    if (this.#now() + waitMilliseconds > waiting.deadline) {
      const timeToReturn = this.#timeToReturn(waitMilliseconds);
      return {
        kind: "too-late",
        waitMilliseconds: Math.max(waitMilliseconds, timeToReturn),
      };
    }
    return new Promise((resolve) => this.#insert(waiting, resolve));
  }

  /** Admits as many as find a runner; refuses those past their deadline. */
  pump(): void {
    if (this.#length === 0) return;
    this.#dropExpired();
    while (this.#admitNext());
  }

  get #isFull(): boolean {
    return this.#length >= this.parameters.limit();
  }

  #timeToReturn(queueMilliseconds: number): number {
    const requestsPerMillisecond = this.#admissions.perMillisecond;
    return this.#returns.next({ queueMilliseconds, requestsPerMillisecond });
  }

  /**
   * Under fair queueing an account waits for its own requests, and for as many
   * of each other account that has any waiting.
   */
  #expectedWait(waiting: Waiting<R>): number {
    const own = this.#flows.get(waiting.account)?.length ?? 0;
    let ahead = 0;
    for (const flow of this.#flows.values()) {
      ahead += Math.min(flow.length, own + 1);
    }
    const rate = this.#admissions.perMillisecond;
    return rate > 0 ? ahead / rate : 0;
  }

  /** Whether nobody waits who would have to be served first. */
  #mayPass({ urgency }: Waiting<R>): boolean {
    if (this.#length === 0) return true;
    const onlyLessUrgent = this.#lessUrgent === this.#length;
    if (!onlyLessUrgent || isLessUrgent(urgency)) return false;
    return this.parameters.reserve?.expected ?? false;
  }

  #roomShare({ urgency }: Waiting<R>): number {
    return this.parameters.reserve?.roomShare(urgency) ?? 1;
  }

  /**
   * Makes place in a full queue by refusing one that nobody waits for: the last
   * of the account that has most waiting. False if there is none.
   */
  #giveWay({ urgency }: Waiting<R>): boolean {
    if (this.#lessUrgent === 0 || isLessUrgent(urgency)) return false;
    const longest = [...this.#flows.values()]
      .filter((flow) => isLessUrgent(flow.last?.urgency ?? 0))
      .reduce((left, right) => (right.length > left.length ? right : left));
    const { last } = longest;
    if (!last) return false;
    this.#leave(longest, last);
    const waitMilliseconds = this.#timeToReturn(this.estimatedWait);
    last.settle({ kind: "full", waitMilliseconds });
    return true;
  }

  /** Serves the account whose turn it is, or one of the next ones. */
  #admitNext(): boolean {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.length > 0)
      .sort((left, right) => left.start - right.start);
    let passed = 0;
    let partIsFull = false;
    for (const flow of flows) {
      if (passed === LOOK_PAST) return false;
      const item = flow.head;
      if (!item) continue;
      const roomShare = this.#roomShare(item);
      if (roomShare < 1 && partIsFull) continue;
      const runner = item.take(roomShare);
      if (runner === undefined) {
        // Those who may use a part only do not use up the looks of others.
        if (roomShare < 1) partIsFull = true;
        else passed++;
        continue;
      }
      this.#leave(flow, item);
      this.#virtualTime = Math.max(this.#virtualTime, flow.start);
      flow.start += shareOf(item);
      item.settle(this.#admit(runner, this.#now() - item.queuedAt));
      return true;
    }
    return false;
  }

  #admit(runner: R, waitedMilliseconds: number): QueueOutcome<R> {
    this.#admissions.count();
    return { kind: "admitted", runner, waitedMilliseconds };
  }

  #insert(
    waiting: Waiting<R>,
    resolve: (outcome: QueueOutcome<R>) => void,
  ): void {
    const { account } = waiting;
    const flow =
      this.#flows.get(account) ??
      new accountFlow.AccountFlow(this.#virtualTime);
    this.#flows.set(account, flow);
    // An account that was away does not save up turns.
    if (flow.length === 0) flow.start = Math.max(flow.start, this.#virtualTime);
    const onGone = () => {
      if (this.#leave(flow, item)) item.settle({ kind: "caller-gone" });
    };
    const item: Item<R> = {
      ...waiting,
      queuedAt: this.#now(),
      settle: (outcome) => {
        waiting.signal.removeEventListener("abort", onGone);
        resolve(outcome);
      },
    };
    waiting.signal.addEventListener("abort", onGone, { once: true });
    flow.add(item);
    this.#length++;
    if (isLessUrgent(item.urgency)) this.#lessUrgent++;
    this.parameters.onWaiting?.();
  }

  #leave(flow: accountFlow.AccountFlow<Item<R>>, item: Item<R>): boolean {
    if (!flow.remove(item)) return false;
    this.#length--;
    if (isLessUrgent(item.urgency)) this.#lessUrgent--;
    return true;
  }

  #dropExpired(): void {
    const now = this.#now();
    for (const [account, flow] of this.#flows) {
      const late = flow.items.filter((item) => item.deadline <= now);
      for (const item of late) {
        this.#leave(flow, item);
        const waitMilliseconds = now - item.queuedAt;
        item.settle({ kind: "too-late", waitMilliseconds });
      }
      const idle = flow.length === 0 && flow.start <= this.#virtualTime;
      if (idle) this.#flows.delete(account);
    }
  }
}

function isLessUrgent(urgency: number): boolean {
  return urgency > surgeReserve.USUAL_URGENCY;
}

/** How far a request moves its account back; once, if it comes back itself. */
function shareOf(item: Waiting<unknown>): number {
  if (item.wasAdmitted) return 0;
  const urgency = item.urgency - surgeReserve.USUAL_URGENCY;
  return (item.cost * Math.pow(2, urgency / 2)) / item.weight;
}
