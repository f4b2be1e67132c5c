/** How many repeats a budget pays for. */
export interface RetryBudgetParameters {
  /** Repeats earned by each first attempt. */
  earnedPerRequest: number;
  /** Repeats at hand at most, and at first for a service with little traffic. */
  maxBalance: number;
  initialBalance: number;
}

/** A tenth of the traffic, with a little at hand for services with few calls. */
const DEFAULT_PARAMETERS: RetryBudgetParameters = {
  earnedPerRequest: 0.1,
  maxBalance: 50,
  initialBalance: 10,
};

/**
 * Pays for attempts after the first out of a share of the traffic: when much
 * fails at once, unlimited retries would multiply the load that made it fail.
 */
export class RetryBudget {
  #balance: number;

  constructor(readonly parameters: RetryBudgetParameters = DEFAULT_PARAMETERS) {
    this.#balance = parameters.initialBalance;
  }

  /** Retries that could be paid now. */
  get balance(): number {
    return this.#balance;
  }

  /** A first attempt was made. */
  earn(): void {
    const next = this.#balance + this.parameters.earnedPerRequest;
    this.#balance = Math.min(next, this.parameters.maxBalance);
  }

  /** Pays for one retry; false when the budget is spent. */
  spend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
