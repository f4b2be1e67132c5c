import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";

/** Blocks remembered per runner; an engine's memory is limited too. */
const BLOCKS_PER_RUNNER = 16_384;
/** Prefix blocks looked at per request. */
const LONGEST_CHAIN = 256;

/** Chained hashes of a prompt's whole prefix blocks. */
export function prefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let previous = "";
  const size = engine.PREFIX_BLOCK_CHARACTERS;
  const count = Math.min(Math.floor(prompt.length / size), LONGEST_CHAIN);
  for (let index = 0; index < count; index++) {
    const text = prompt.slice(index * size, (index + 1) * size);
    previous = common.hash64(previous + text);
    blocks.push(previous);
  }
  return blocks;
}

/**
 * Which prefix blocks each runner is believed to hold, from cache events. They
 * come late and with gaps; a wrong belief costs time only, never correctness.
 */
export class PrefixIndex {
  readonly #blocks = new Map<string, Set<string>>();

  /** Takes in cache events of a runner; a gap voids what was believed. */
  apply(runner: string, changes: wire.CacheChange[]): void {
    for (const change of changes) {
      if (change.gap) this.#blocks.delete(runner);
      const held = this.#held(runner);
      for (const block of change.removed) held.delete(block);
      for (const block of change.stored) this.#add(held, block);
    }
  }

  /** Notes a prompt just sent, ahead of the engine's late event. */
  expect(runner: string, blocks: string[]): void {
    const held = this.#held(runner);
    for (const block of blocks) this.#add(held, block);
  }

  /** Prompt tokens of the longest prefix that the runner should hold. */
  match(runner: string, blocks: string[]): number {
    const held = this.#blocks.get(runner);
    if (!held) return 0;
    let count = 0;
    while (count < blocks.length && held.has(blocks[count])) count++;
    return (count * engine.PREFIX_BLOCK_CHARACTERS) / 4;
  }

  /** Forgets a runner that was replaced or has gone. */
  forget(runner: string): void {
    this.#blocks.delete(runner);
  }

  #held(runner: string): Set<string> {
    const held = this.#blocks.get(runner) ?? new Set();
    this.#blocks.set(runner, held);
    return held;
  }

  #add(held: Set<string>, block: string): void {
    held.delete(block);
    held.add(block);
    if (held.size <= BLOCKS_PER_RUNNER) return;
    const [oldest] = held;
    held.delete(oldest);
  }
}
