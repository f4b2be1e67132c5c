/** Retries earned by each first attempt. */
const EARNED_PER_REQUEST = 0.1;
/** Retries always at hand, for a service with little traffic. */
const LARGEST_BALANCE = 50;
const INITIAL_BALANCE = 10;

/**
 * Pays for attempts after the first out of a share of the traffic: when much
 * fails at once, unlimited retries would multiply the load that made it fail.
 */
export class RetryBudget {
  #balance = INITIAL_BALANCE;

  /** Retries that could be paid now. */
  get balance(): number {
    return this.#balance;
  }

  /** A first attempt was made. */
  earn(): void {
    const next = this.#balance + EARNED_PER_REQUEST;
    this.#balance = Math.min(next, LARGEST_BALANCE);
  }

  /** Pays for one retry; false when the budget is spent. */
  spend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
