/** Place in the line of an account. */
interface Place {
  urgency: number;
  wasAdmitted: boolean;
}

/** Requests of one account that wait, most urgent first. */
export class AccountFlow<T extends Place> {
  readonly #waiting: T[] = [];
  /** Virtual time at which the account may next be served. */
  start: number;

  constructor(virtualTime: number) {
    this.start = virtualTime;
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
  get items(): readonly T[] {
    return this.#waiting;
  }

  /** Adds a request behind those as urgent; one that had its turn before them. */
  add(item: T): void {
    let index = this.#waiting.length;
    while (index > 0 && goesBefore(item, this.#waiting[index - 1])) index--;
    this.#waiting.splice(index, 0, item);
  }

  /** Removes a request; false if it is not here. */
  remove(item: T): boolean {
    const index = this.#waiting.indexOf(item);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    return true;
  }
}

function goesBefore(item: Place, other: Place): boolean {
  if (item.urgency !== other.urgency) return item.urgency < other.urgency;
  return item.wasAdmitted && !other.wasAdmitted;
}
