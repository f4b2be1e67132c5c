/** Place in the line of an account. */
interface PrioritizedRequest {
  urgency: number;
  wasAdmitted: boolean;
}

/** Requests of one account that wait, most urgent first. */
export class AccountFlow<T extends PrioritizedRequest> {
  readonly #waiting: T[] = [];
  /** Virtual time at which the account may next be served. */
  startTag: number;

  constructor(virtualTime: number) {
    this.startTag = virtualTime;
  }

  /** Number of requests waiting. */
  get length(): number {
    return this.#waiting.length;
  }

  /** The request to be served next. */
  get head(): T | undefined {
    return this.#waiting[0];
  }

  /** The least urgent request, the newest of several. */
  get last(): T | undefined {
    return this.#waiting.at(-1);
  }

  /** All requests, most urgent first. */
  get requests(): readonly T[] {
    return this.#waiting;
  }

  /** Adds a request behind those as urgent; one that had its turn before them. */
  add(request: T): void {
    let index = this.#waiting.length;
    while (index > 0 && precedes(request, this.#waiting[index - 1])) index--;
    this.#waiting.splice(index, 0, request);
  }

  /** Removes a request; false if it is not here. */
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
