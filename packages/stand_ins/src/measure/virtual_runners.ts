import type * as common from "@geraniumkeel/common";

const RUNNERS = 48;

/** Service time of one request, in milliseconds. */
export const SERVICE_MILLISECONDS = 400;
/** Requests that all runners together answer in a millisecond. */
export const REQUESTS_PER_MILLISECOND = RUNNERS / SERVICE_MILLISECONDS;

/** Runners in virtual time, each with one request at a time. */
export class VirtualRunners {
  #free = RUNNERS;
  readonly #ends: number[] = [];

  /** Takes a runner; `undefined` if none is free. */
  readonly take = (): true | undefined => {
    if (this.#free === 0) return undefined;
    this.#free--;
    return true;
  };

  /** Begins to serve at a taken runner; returns when that ends. */
  serve(now: number, random: common.Random): number {
    const end = now + random.between(0.8, 1.2) * SERVICE_MILLISECONDS;
    this.#ends.push(end);
    return end;
  }

  /** When the next runner becomes free; infinity while none is taken. */
  get nextEnd(): number {
    return Math.min(...this.#ends);
  }

  /** Frees the runner that becomes free next. */
  endNext(): void {
    this.#ends.splice(this.#ends.indexOf(this.nextEnd), 1);
    this.#free++;
  }
}
