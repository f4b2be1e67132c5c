import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";

/** Blocks remembered per runner; an engine's memory is limited too. */
const MAX_BLOCKS_PER_RUNNER = 16_384;
/** Prefix blocks looked at per request. */
const MAX_BLOCKS_PER_PROMPT = 256;

/** Chained hashes of a prompt's whole prefix blocks. */
export function hashPrefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let previousHash = "";
  const size = engine.PREFIX_BLOCK_CHARACTERS;
  const count = Math.min(
    Math.floor(prompt.length / size),
    MAX_BLOCKS_PER_PROMPT,
  );
  for (let index = 0; index < count; index++) {
    const text = prompt.slice(index * size, (index + 1) * size);
    previousHash = common.hash64(previousHash + text);
    blocks.push(previousHash);
  }
  return blocks;
}

/**
 * Which prefix blocks each runner is believed to hold, from cache events. They
 * come late and with gaps; a wrong belief costs time only, never correctness.
 */
export class PrefixIndex {
  readonly #cachedBlocks = new Map<string, Set<string>>();

  /** Takes in cache events of a runner; a gap voids what was believed. */
  apply(runner: string, changes: wire.CacheChange[]): void {
    for (const change of changes) {
      if (change.gap) this.#cachedBlocks.delete(runner);
      const cached = this.#cachedBlocksOf(runner);
      for (const block of change.removed) cached.delete(block);
      for (const block of change.stored) this.#add(cached, block);
    }
  }

  /** Notes a prompt just sent, ahead of the engine's late event. */
  assumeCached(runner: string, blocks: string[]): void {
    const cached = this.#cachedBlocksOf(runner);
    for (const block of blocks) this.#add(cached, block);
  }

  /** Prompt tokens of the longest prefix that the runner should hold. */
  countCachedTokens(runner: string, blocks: string[]): number {
    const cached = this.#cachedBlocks.get(runner);
    if (!cached) return 0;
    let count = 0;
    while (count < blocks.length && cached.has(blocks[count])) count++;
    return (count * engine.PREFIX_BLOCK_CHARACTERS) / 4;
  }

  /** Forgets a runner that was replaced or has gone. */
  forget(runner: string): void {
    this.#cachedBlocks.delete(runner);
  }

  #cachedBlocksOf(runner: string): Set<string> {
    const cached = this.#cachedBlocks.get(runner) ?? new Set();
    this.#cachedBlocks.set(runner, cached);
    return cached;
  }

  #add(cached: Set<string>, block: string): void {
    cached.delete(block);
    cached.add(block);
    if (cached.size <= MAX_BLOCKS_PER_RUNNER) return;
    const [oldest] = cached;
    cached.delete(oldest);
  }
}
