import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";

const SHORTEST_ANSWER = 8;
const ANSWER_SPREAD = 48;

/** Chained hashes of a prompt's whole prefix blocks, as engines make them. */
export function blocksOf(prompt: string): string[] {
  const size = engine.PREFIX_BLOCK_CHARACTERS;
  const blocks: string[] = [];
  let previous = "";
  for (let start = 0; start + size <= prompt.length; start += size) {
    previous = common.hash64(previous + prompt.slice(start, start + size));
    blocks.push(previous);
  }
  return blocks;
}

/** Text of one token: tells whose answer it is and at what place it belongs. */
export function tokenText(prompt: string, index: number): string {
  return `${common.hash64(prompt).slice(0, 8)}.${index} `;
}

/**
 * Tokens of the answer to a prompt. A prompt may ask for a number of tokens by
 * `[tokens=N]`; else its hash decides.
 */
export function answerLength(prompt: string): number {
  const asked = /\[tokens=(\d+)\]/.exec(prompt);
  if (asked) return Number(asked[1]);
  return SHORTEST_ANSWER + (common.hash32(prompt) % ANSWER_SPREAD);
}

/** One answer being generated. */
export class Sequence {
  readonly tokens: string[] = [];
  readonly changed = new common.ChangeNotice();
  readonly promptTokens: number;
  prefillLeft: number;
  ended: string | undefined;
  endedAt = Infinity;
  readonly #length: number;

  constructor(
    readonly call: engine.GenerateCall,
    hitTokens: number,
  ) {
    this.promptTokens = Math.ceil(call.prompt.length / 4);
    this.prefillLeft = Math.max(0, this.promptTokens - hitTokens);
    this.#length = answerLength(call.prompt);
  }

  /** Tokens held in the KV cache. */
  get cachedTokens(): number {
    return this.promptTokens - this.prefillLeft + this.tokens.length;
  }

  /** Takes a step; returns the prompt tokens processed. */
  step(prefillBudget: number): number {
    if (this.ended !== undefined) return 0;
    if (this.prefillLeft > 0) {
      const processed = Math.min(this.prefillLeft, Math.max(0, prefillBudget));
      this.prefillLeft -= processed;
      return processed;
    }
    this.tokens.push(tokenText(this.call.prompt, this.tokens.length));
    const { maximumTokens } = this.call;
    if (this.tokens.length >= this.#length) this.finish("stop");
    else if (this.tokens.length >= maximumTokens) this.finish("length");
    this.changed.announce();
    return 0;
  }

  /** Ends the sequence; only the first end counts. */
  finish(reason: string): void {
    if (this.ended !== undefined) return;
    this.ended = reason;
    this.endedAt = common.now();
    this.changed.announce();
  }
}
