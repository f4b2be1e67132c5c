/**
 * Number of recent requests of a route from which the variation is estimated.
 */
const MAX_SAMPLES = 31;

/**
 * How much the timeouts of first tries on one route differ among themselves.
 * Some deployments give each caller a timeout of its own. Timeouts are compared
 * as fractions of the longest one of their account.
 *
 * First tries are assumed to vary evenly around their median, so that as much
 * lies below it as between it and the longest. Retries must be the minority; if
 * they are not, the variation is overestimated and they count as first tries.
 */
export class TimeoutVariation {
  readonly #fractions: number[] = [];

  /**
   * Adds a timeout. Returns the time that its caller has spent, as a fraction
   * of the longest timeout: 0 within the variation of first tries, else the
   * difference to their median.
   */
  note(fraction: number): number {
    this.#fractions.push(fraction);
    if (this.#fractions.length > MAX_SAMPLES) this.#fractions.shift();
    const median = this.#median;
    const shortestFirstTry = 2 * median - 1;
    return fraction >= shortestFirstTry ? 0 : median - fraction;
  }

  get #median(): number {
    const sorted = [...this.#fractions].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)];
  }
}
