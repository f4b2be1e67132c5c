/** Work of a rank in one iteration, on which its iteration time depends. */
export interface RankWork {
  /** Running sequences, one for each attempt. */
  sequences: number;
  /** Tokens of these sequences in the KV cache. */
  cachedTokens: number;
  /** Prompt tokens still to be prefilled. */
  prefillTokens: number;
}

/** One constant, and one coefficient for each field of `RankWork`. */
const COEFFICIENT_COUNT = 4;
/**
 * Factor by which the weight of an observation falls at each later one; so
 * about the last 500 observations determine the fit.
 */
const FORGETTING_FACTOR = 0.998;
/** Factors that scale the inputs so that typical values are near 1. */
const INPUT_SCALES = [1, 1 / 16, 1 / 8_192, 1 / 1_024];
/** Variance of each coefficient before the first observation. */
const INITIAL_VARIANCE = 100;
/** Weight of the newest observation in a rank's slowdown. */
const SLOWDOWN_SMOOTHING = 0.05;
/** Largest slowdown factor of a rank; the smallest is its inverse. */
const MAX_SLOWDOWN = 8;

/** Coefficients before the first observation, in milliseconds. */
const INITIAL_COEFFICIENTS = [6, 0.8, 0.8, 2];

/**
 * Predicts the iteration time of a rank from its work as a + b·sequences +
 * c·cached tokens + d·prefill tokens. The coefficients are fitted online by
 * recursive least squares over all ranks of a group. Each rank also has its own
 * slowdown factor, by which the prediction is multiplied: a rank with popular
 * experts or slow hardware takes longer for the same work.
 */
export class IterationTimeModel {
  readonly #coefficients = Float64Array.from(INITIAL_COEFFICIENTS);
  readonly #covariance = new Float64Array(
    COEFFICIENT_COUNT * COEFFICIENT_COUNT,
  );
  readonly #slowdowns = new Map<number, number>();
  readonly #input = new Float64Array(COEFFICIENT_COUNT);
  readonly #gain = new Float64Array(COEFFICIENT_COUNT);

  constructor() {
    for (let index = 0; index < COEFFICIENT_COUNT; index++) {
      this.#covariance[index * COEFFICIENT_COUNT + index] = INITIAL_VARIANCE;
    }
  }

  /** Fitted coefficients in milliseconds per unit, for the state dump. */
  get coefficients(): {
    constant: number;
    perSequence: number;
    perCachedToken: number;
    perPrefillToken: number;
  } {
    const [constant, sequence, cached, prefill] = this.#coefficients;
    return {
      constant,
      perSequence: sequence * INPUT_SCALES[1],
      perCachedToken: cached * INPUT_SCALES[2],
      perPrefillToken: prefill * INPUT_SCALES[3],
    };
  }

  /** Factor by which a rank is slower than the fit predicts; 1 if unknown. */
  slowdown(rank: number): number {
    return this.#slowdowns.get(rank) ?? 1;
  }

  /** Predicts the iteration time of a rank. */
  predictMilliseconds(rank: number, work: RankWork): number {
    return this.slowdown(rank) * this.#predictWithoutSlowdown(work);
  }

  /**
   * Milliseconds that the fit predicts for any rank. They are never 0, because
   * `observe` divides by them.
   */
  #predictWithoutSlowdown(work: RankWork): number {
    const coefficients = this.#coefficients;
    const milliseconds =
      coefficients[0] +
      coefficients[1] * INPUT_SCALES[1] * work.sequences +
      coefficients[2] * INPUT_SCALES[2] * work.cachedTokens +
      coefficients[3] * INPUT_SCALES[3] * work.prefillTokens;
    return Math.max(milliseconds, 0.01);
  }

  /** Updates the fit and the rank's slowdown from a measured iteration time. */
  observe(rank: number, work: RankWork, milliseconds: number): void {
    const slowdown = this.slowdown(rank);
    this.#fit(work, milliseconds / slowdown);
    const ratio = milliseconds / this.#predictWithoutSlowdown(work);
    const next = slowdown + SLOWDOWN_SMOOTHING * (ratio - slowdown);
    const bounded = Math.min(Math.max(next, 1 / MAX_SLOWDOWN), MAX_SLOWDOWN);
    this.#slowdowns.set(rank, bounded);
  }

  /** Updates the coefficients by recursive least squares with forgetting. */
  #fit(work: RankWork, targetMilliseconds: number): void {
    const input = this.#input;
    const covariance = this.#covariance;
    const gain = this.#gain;
    input[0] = 1;
    input[1] = work.sequences * INPUT_SCALES[1];
    input[2] = work.cachedTokens * INPUT_SCALES[2];
    input[3] = work.prefillTokens * INPUT_SCALES[3];
    let denominator = FORGETTING_FACTOR;
    for (let row = 0; row < COEFFICIENT_COUNT; row++) {
      let sum = 0;
      for (let column = 0; column < COEFFICIENT_COUNT; column++) {
        sum += covariance[row * COEFFICIENT_COUNT + column] * input[column];
      }
      gain[row] = sum;
      denominator += input[row] * sum;
    }
    let errorMilliseconds = targetMilliseconds;
    for (let row = 0; row < COEFFICIENT_COUNT; row++) {
      errorMilliseconds -= this.#coefficients[row] * input[row];
    }
    for (let row = 0; row < COEFFICIENT_COUNT; row++) {
      this.#coefficients[row] += (gain[row] / denominator) * errorMilliseconds;
    }
    for (let row = 0; row < COEFFICIENT_COUNT; row++) {
      for (let column = 0; column < COEFFICIENT_COUNT; column++) {
        const change = (gain[row] * gain[column]) / denominator;
        const value =
          (covariance[row * COEFFICIENT_COUNT + column] - change) /
          FORGETTING_FACTOR;
        // While reports bring no new information, the covariance would grow
        // without bound, and one outlier would then distort the fit.
        covariance[row * COEFFICIENT_COUNT + column] = Math.min(
          value,
          INITIAL_VARIANCE,
        );
      }
    }
  }
}
