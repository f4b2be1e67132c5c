import * as random from "./random.ts";

/**
 * Growing pauses with full jitter: after an outage many processes retry at
 * once, and equal pauses would have them return in step.
 */
export class BackOff {
  #next: number;

  constructor(
    readonly parameters: {
      firstMilliseconds: number;
      longestMilliseconds: number;
      random: random.Random;
    },
  ) {
    this.#next = parameters.firstMilliseconds;
  }

  /** The next pause in milliseconds. */
  pause(): number {
    const { longestMilliseconds, random } = this.parameters;
    const ceiling = this.#next;
    this.#next = Math.min(this.#next * 2, longestMilliseconds);
    return random.between(ceiling / 4, ceiling);
  }

  /** Starts over after a success. */
  reset(): void {
    this.#next = this.parameters.firstMilliseconds;
  }
}
