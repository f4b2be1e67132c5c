/** How many retries a budget allows. */
export interface RetryBudgetParameters {
  /** Retries that each first attempt adds to the budget. */
  earnedPerRequest: number;
  /** Most retries that the budget accumulates. */
  maxBalance: number;
  /** Retries available at the start, for services with little traffic. */
  initialBalance: number;
}

/**
 * Allows retries for a tenth of the traffic, and a few for services with few
 * calls.
 */
const DEFAULT_PARAMETERS: RetryBudgetParameters = {
  earnedPerRequest: 0.1,
  maxBalance: 50,
  initialBalance: 10,
};

/**
 * Limits retries to a share of the traffic. When many requests fail at once,
 * unlimited retries would multiply the load that made them fail.
 */
export class RetryBudget {
  #balance: number;

  constructor(readonly parameters: RetryBudgetParameters = DEFAULT_PARAMETERS) {
    this.#balance = parameters.initialBalance;
  }

  /** Number of retries that the budget allows now; may be a fraction. */
  get balance(): number {
    return this.#balance;
  }

  /** Adds to the budget for a first attempt. */
  earn(): void {
    const next = this.#balance + this.parameters.earnedPerRequest;
    this.#balance = Math.min(next, this.parameters.maxBalance);
  }

  /**
   * Takes one retry from the budget; returns false if less than one is left.
   */
  spend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
