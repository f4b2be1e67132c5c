/** Room that was taken at a runner for a request about to be dispatched. */
export interface Reservation {
  /** Gives the room back; once dispatched, the dispatch counts in its place. */
  release(): void;
}

/**
 * What a runner will have to do that its last load report does not include:
 * own dispatches since, and requests that have chosen it and are about to be
 * dispatched. Without the former an entry would send burst after burst to a
 * runner that looked idle in an older report. Without the latter all requests
 * of a queue chose on one view: with room for 4 a runner was sent 24.
 */
export class PendingDispatches {
  #pending: { number: number; promptTokens: number }[] = [];
  #sentCount = 0;
  readonly #reserved = new Map<Reservation, number>();

  /** Dispatches not reported yet, and reservations. */
  get count(): number {
    return this.#pending.length + this.#reserved.size;
  }

  /** Their prompt tokens. */
  get promptTokens(): number {
    let tokens = 0;
    for (const one of this.#pending) tokens += one.promptTokens;
    for (const promptTokens of this.#reserved.values()) tokens += promptTokens;
    return tokens;
  }

  /** Takes room for a request that has chosen this runner. */
  reserve(promptTokens: number): Reservation {
    const reservation = {
      release: () => void this.#reserved.delete(reservation),
    };
    this.#reserved.set(reservation, promptTokens);
    return reservation;
  }

  /** Notes a dispatch. */
  add(promptTokens: number): void {
    this.#sentCount++;
    this.#pending.push({ number: this.#sentCount, promptTokens });
  }

  /** A report includes the first `count` dispatches over this link. */
  removeReported(count: number): void {
    this.#pending = this.#pending.filter(({ number }) => number > count);
  }

  /** A new link counts its dispatches from nothing. */
  reset(): void {
    this.#pending = [];
    this.#sentCount = 0;
  }
}
