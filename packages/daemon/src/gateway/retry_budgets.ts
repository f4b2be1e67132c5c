import * as retryBudget from "../dispatch/retry_budget.ts";

/**
 * Fraction of the allowed retries that entries use; the rest covers unequal
 * load.
 */
const USED_RETRY_FRACTION = 0.7;
/**
 * The retry allowance is divided by the number of known entries, or by this
 * number if fewer are known.
 */
const MIN_ENTRIES = 6;

/** Retry budgets of this entry, one for each service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, retryBudget.RetryBudget>();

  constructor(
    readonly parameters: {
      share: number;
      allowance: number;
      /** Number of known entries, including this one. */
      entryCount: () => number;
    },
  ) {}

  /** Returns the retry budget of a service, and creates it on first use. */
  of(service: string): retryBudget.RetryBudget {
    const existing = this.#budgets.get(service);
    if (existing) return existing;
    const { share, allowance, entryCount } = this.parameters;
    const entries = Math.max(MIN_ENTRIES, entryCount());
    const maxBalance = (allowance * USED_RETRY_FRACTION) / entries;
    const created = new retryBudget.RetryBudget({
      earnedPerRequest: share * USED_RETRY_FRACTION,
      maxBalance,
      // A process that restarts may have spent its balance just before.
      initialBalance: maxBalance / 2,
    });
    this.#budgets.set(service, created);
    return created;
  }
}
