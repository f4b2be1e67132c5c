/**
 * Capacity reserved at a runner for a request that is about to be dispatched.
 */
export interface Reservation {
  /**
   * Frees the capacity. A dispatch counts towards the load itself, so the
   * reservation is released when the request is dispatched.
   */
  release(): void;
}

/**
 * Work of this entry that a runner's last load report does not include:
 * requests dispatched since, and requests that have chosen the runner and are
 * about to be dispatched (reservations). Without the dispatches, an entry would
 * send one burst after another to a runner that looked idle in an older report.
 * Without the reservations, all requests of a queue would choose by the same
 * load: a runner with capacity for 4 received 24.
 */
export class PendingDispatches {
  #pending: { number: number; promptTokens: number }[] = [];
  /** Number of dispatches over the present link. */
  #sentCount = 0;
  /** Prompt tokens of each reservation. */
  readonly #reserved = new Map<Reservation, number>();

  /** Number of dispatches that no report includes yet, and of reservations. */
  get count(): number {
    return this.#pending.length + this.#reserved.size;
  }

  /** Prompt tokens of those dispatches and reservations. */
  get promptTokens(): number {
    let tokens = 0;
    for (const one of this.#pending) tokens += one.promptTokens;
    for (const promptTokens of this.#reserved.values()) tokens += promptTokens;
    return tokens;
  }

  /** Reserves capacity for a request that has chosen this runner. */
  reserve(promptTokens: number): Reservation {
    const reservation = {
      release: () => void this.#reserved.delete(reservation),
    };
    this.#reserved.set(reservation, promptTokens);
    return reservation;
  }

  /** Adds a dispatch. */
  add(promptTokens: number): void {
    this.#sentCount++;
    this.#pending.push({ number: this.#sentCount, promptTokens });
  }

  /**
   * Drops the first `count` dispatches over this link, because a load report
   * includes them.
   */
  removeReported(count: number): void {
    this.#pending = this.#pending.filter(({ number }) => number > count);
  }

  /**
   * Drops all dispatches and counts from 0 again, as the runner does on a new
   * link. Reservations stay.
   */
  reset(): void {
    this.#pending = [];
    this.#sentCount = 0;
  }
}
