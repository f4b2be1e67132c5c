import * as common from "@geraniumkeel/common";

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
  /** Takes a runner if there is one with room. */
  take: () => R | undefined;
}

/** What became of a request that asked for a runner. */
export type QueueOutcome<R> =
  | { kind: "admitted"; runner: R; waitedMilliseconds: number }
  | { kind: "full" }
  /** It would miss its deadline; `waitMilliseconds` is the estimate. */
  | { kind: "too-late"; waitMilliseconds: number }
  | { kind: "caller-gone" };

interface Item<R> extends Waiting<R> {
  /** Virtual time at which it would finish under fair sharing. */
  finish: number;
  queuedAt: number;
  settle: (outcome: QueueOutcome<R>) => void;
}

const RATE_WINDOW_MILLISECONDS = 2_000;

/**
 * Requests of one service waiting at one entry, served by start-time fair
 * queueing over accounts: a large account queues behind its own requests, and
 * not the small ones behind it. Within an account, urgent ones go first.
 */
export class ServiceQueue<R> {
  readonly #items: Item<R>[] = [];
  /** Virtual finish of the last request of each account with any waiting. */
  readonly #lastFinish = new Map<string, number>();
  #virtualTime = 0;
  #admittedAt: number[] = [];

  constructor(
    readonly parameters: {
      limit: () => number;
      clock?: () => number;
    },
  ) {}

  /** Requests waiting. */
  get length(): number {
    return this.#items.length;
  }

  /** Estimated wait of a request that comes now, in milliseconds. */
  get estimatedWait(): number {
    if (this.#items.length === 0) return 0;
    const rate = this.#admissionRate();
    return rate > 0 ? this.#items.length / rate : 0;
  }

  /** Waits for a runner, or refuses at once what cannot be served in time. */
  enter(waiting: Waiting<R>): Promise<QueueOutcome<R>> | QueueOutcome<R> {
    if (this.#items.length === 0) {
      const runner = waiting.take();
      if (runner !== undefined) return this.#admit(runner, 0);
    }
    if (this.#items.length >= this.parameters.limit()) return { kind: "full" };
    const waitMilliseconds = this.estimatedWait;
    if (this.#now() + waitMilliseconds > waiting.deadline) {
      return { kind: "too-late", waitMilliseconds };
    }
    return new Promise((resolve) => this.#insert(waiting, resolve));
  }

  /** Admits as many as find a runner; refuses those past their deadline. */
  pump(): void {
    this.#dropExpired();
    while (this.#items.length > 0) {
      const item = this.#items[0];
      const runner = item.take();
      if (runner === undefined) return;
      this.#items.shift();
      this.#virtualTime = item.finish;
      const waited = this.#now() - item.queuedAt;
      item.settle(this.#admit(runner, waited));
    }
    this.#lastFinish.clear();
    this.#virtualTime = 0;
  }

  #admit(runner: R, waitedMilliseconds: number): QueueOutcome<R> {
    this.#admittedAt.push(this.#now());
    return { kind: "admitted", runner, waitedMilliseconds };
  }

  #insert(
    waiting: Waiting<R>,
    resolve: (outcome: QueueOutcome<R>) => void,
  ): void {
    const last = this.#lastFinish.get(waiting.account) ?? this.#virtualTime;
    const start = Math.max(last, this.#virtualTime);
    // Urgency scales the cost: each step down from the middle counts for more.
    const scale = Math.pow(2, (waiting.urgency - 3) / 2);
    const finish = start + (waiting.cost * scale) / waiting.weight;
    this.#lastFinish.set(waiting.account, finish);
    const leave = () => {
      const index = this.#items.indexOf(item);
      if (index >= 0) this.#items.splice(index, 1);
      item.settle({ kind: "caller-gone" });
    };
    const item: Item<R> = {
      ...waiting,
      finish,
      queuedAt: this.#now(),
      settle: (outcome) => {
        waiting.signal.removeEventListener("abort", leave);
        resolve(outcome);
      },
    };
    waiting.signal.addEventListener("abort", leave, { once: true });
    this.#items.splice(this.#position(finish), 0, item);
  }

  /** Index of the first item that finishes later. */
  #position(finish: number): number {
    let low = 0;
    let high = this.#items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#items[middle].finish <= finish) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #dropExpired(): void {
    const now = this.#now();
    for (let index = this.#items.length - 1; index >= 0; index--) {
      const item = this.#items[index];
      if (item.deadline > now) continue;
      this.#items.splice(index, 1);
      const waitMilliseconds = now - item.queuedAt;
      item.settle({ kind: "too-late", waitMilliseconds });
    }
  }

  /** Admissions per millisecond over the last seconds. */
  #admissionRate(): number {
    const since = this.#now() - RATE_WINDOW_MILLISECONDS;
    this.#admittedAt = this.#admittedAt.filter((time) => time > since);
    return this.#admittedAt.length / RATE_WINDOW_MILLISECONDS;
  }

  #now(): number {
    return (this.parameters.clock ?? common.now)();
  }
}
