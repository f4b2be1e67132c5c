const SMOOTHING = 0.05;
const INITIAL_TOKENS = 128;

/** Expected length of answers by service, learnt from those seen. */
export class AnswerLengths {
  readonly #means = new Map<string, number>();

  /** Expected tokens of an answer that may have `maximumTokens`. */
  expect(service: string, maximumTokens: number): number {
    const mean = this.#means.get(service) ?? INITIAL_TOKENS;
    return Math.min(maximumTokens, Math.round(mean));
  }

  /** Takes in the length of a complete answer. */
  observe(service: string, tokens: number): void {
    const mean = this.#means.get(service) ?? INITIAL_TOKENS;
    this.#means.set(service, mean + SMOOTHING * (tokens - mean));
  }

  /** Means by service, for the state dump. */
  describe(): unknown {
    return Object.fromEntries(this.#means);
  }
}
