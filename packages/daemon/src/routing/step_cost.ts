/** What a rank's step time depends on. */
export interface RankWork {
  sequences: number;
  cachedTokens: number;
  prefillTokens: number;
}

/** Number of coefficients: constant, sequence, cached token, prefill token. */
const SIZE = 4;
/** How fast old observations lose weight; about the last 500 count. */
const FORGETTING = 0.998;
/** Inputs are scaled so that typical values are near 1. */
const SCALES = [1, 1 / 16, 1 / 8_192, 1 / 1_024];
const INITIAL_UNCERTAINTY = 100;
const BIAS_SMOOTHING = 0.05;
const LARGEST_BIAS = 8;

/** Starting point before anything was observed, in milliseconds. */
const INITIAL_COEFFICIENTS = [6, 0.8, 0.8, 2];

/**
 * Step time of a rank as a + b·sequences + c·cached tokens + d·prefill tokens,
 * fitted online by recursive least squares over all ranks of a group. What a
 * rank takes beyond that, for hot experts or slow hardware, is its own bias.
 */
export class StepCost {
  readonly #coefficients = Float64Array.from(INITIAL_COEFFICIENTS);
  readonly #covariance = new Float64Array(SIZE * SIZE);
  readonly #biases = new Map<number, number>();
  readonly #input = new Float64Array(SIZE);
  readonly #gain = new Float64Array(SIZE);

  constructor() {
    for (let index = 0; index < SIZE; index++) {
      this.#covariance[index * SIZE + index] = INITIAL_UNCERTAINTY;
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
      perSequence: sequence * SCALES[1],
      perCachedToken: cached * SCALES[2],
      perPrefillToken: prefill * SCALES[3],
    };
  }

  /** How much slower than the others a rank is at the same work. */
  bias(rank: number): number {
    return this.#biases.get(rank) ?? 1;
  }

  /** Predicted step time of a rank in milliseconds. */
  predict(rank: number, work: RankWork): number {
    return this.bias(rank) * this.#base(work);
  }

  /** Predicted step time without the rank's bias. */
  #base(work: RankWork): number {
    const c = this.#coefficients;
    const time =
      c[0] +
      c[1] * SCALES[1] * work.sequences +
      c[2] * SCALES[2] * work.cachedTokens +
      c[3] * SCALES[3] * work.prefillTokens;
    return Math.max(time, 0.01);
  }

  /** Takes in an observed step time of a rank. */
  observe(rank: number, work: RankWork, milliseconds: number): void {
    const bias = this.bias(rank);
    this.#fit(work, milliseconds / bias);
    const ratio = milliseconds / this.#base(work);
    const next = bias + BIAS_SMOOTHING * (ratio - bias);
    const bounded = Math.min(Math.max(next, 1 / LARGEST_BIAS), LARGEST_BIAS);
    this.#biases.set(rank, bounded);
  }

  /** One step of recursive least squares with forgetting. */
  #fit(work: RankWork, target: number): void {
    const x = this.#input;
    const p = this.#covariance;
    const gain = this.#gain;
    x[0] = 1;
    x[1] = work.sequences * SCALES[1];
    x[2] = work.cachedTokens * SCALES[2];
    x[3] = work.prefillTokens * SCALES[3];
    let denominator = FORGETTING;
    for (let row = 0; row < SIZE; row++) {
      let sum = 0;
      for (let column = 0; column < SIZE; column++) {
        sum += p[row * SIZE + column] * x[column];
      }
      gain[row] = sum;
      denominator += x[row] * sum;
    }
    let error = target;
    for (let row = 0; row < SIZE; row++) {
      error -= this.#coefficients[row] * x[row];
    }
    for (let row = 0; row < SIZE; row++) {
      this.#coefficients[row] += (gain[row] / denominator) * error;
    }
    for (let row = 0; row < SIZE; row++) {
      for (let column = 0; column < SIZE; column++) {
        const change = (gain[row] * gain[column]) / denominator;
        const value = (p[row * SIZE + column] - change) / FORGETTING;
        // Without new information the covariance would grow without bound, and
        // one odd report would throw the fit far off.
        p[row * SIZE + column] = Math.min(value, INITIAL_UNCERTAINTY);
      }
    }
  }
}
