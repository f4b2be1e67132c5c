/** The properties of a request that decide its place in the account's order. */
interface PrioritizedRequest {
  /** From 0, the most urgent, to 7 (RFC 9218). */
  urgency: number;
  /** Whether the request was admitted before and had to return to the queue. */
  wasAdmitted: boolean;
}

/**
 * The waiting requests of one account, most urgent first: a flow in the sense
 * of start-time fair queueing.
 */
export class AccountFlow<T extends PrioritizedRequest> {
  readonly #waiting: T[] = [];
  /**
   * Start tag of the next request, in virtual time. The queue first tries the
   * account with the lowest start tag.
   */
  startTag: number;

  constructor(virtualTime: number) {
    this.startTag = virtualTime;
  }

  /** Number of requests waiting. */
  get length(): number {
    return this.#waiting.length;
  }

  /** The request that the queue admits next from this account. */
  get head(): T | undefined {
    return this.#waiting[0];
  }

  /**
   * The request that the queue admits last: the least urgent one, and of
   * several such requests the last in order.
   */
  get last(): T | undefined {
    return this.#waiting.at(-1);
  }

  /** All requests, most urgent first. */
  get requests(): readonly T[] {
    return this.#waiting;
  }

  /**
   * Adds a request behind those of the same urgency, or, if it was admitted
   * before, in front of those that were not.
   */
  add(request: T): void {
    let index = this.#waiting.length;
    while (index > 0 && precedes(request, this.#waiting[index - 1])) index--;
    this.#waiting.splice(index, 0, request);
  }

  /** Removes a request; returns false if the flow does not contain it. */
  remove(request: T): boolean {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    return true;
  }
}

function precedes(
  request: PrioritizedRequest,
  other: PrioritizedRequest,
): boolean {
  if (request.urgency !== other.urgency) return request.urgency < other.urgency;
  return request.wasAdmitted && !other.wasAdmitted;
}
