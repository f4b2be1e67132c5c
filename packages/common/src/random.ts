import * as uniformFloat64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Seeded source of random numbers, so that a run can be repeated. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro.xoroshiro128plus(seed);
    // The first outputs of a small seed are far from uniform.
    for (let index = 0; index < 16; index++) this.fraction();
  }

  /** Uniform in [0, 1). */
  fraction(): number {
    return uniformFloat64.uniformFloat64(this.#generator);
  }

  /** Uniform integer in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.fraction() * bound);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + this.fraction() * (high - low);
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /** Heavy-tailed (Pareto) with the given minimum and shape. */
  pareto(minimum: number, shape: number): number {
    return minimum / Math.pow(1 - this.fraction(), 1 / shape);
  }

  /** One element, each as likely. */
  pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)];
  }
}

/** A seed for a process's own choices, different in every process. */
export function processSeed(): number {
  return (process.pid * 7919 + Math.floor(Math.random() * 0x7fffffff)) | 0;
}
