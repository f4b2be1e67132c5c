import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";

/** Blocks remembered per runner; the engine's cache is limited as well. */
const MAX_BLOCKS_PER_RUNNER = 16_384;
/** Prefix blocks that are hashed per prompt; the rest is ignored. */
const MAX_BLOCKS_PER_PROMPT = 256;

/**
 * Hashes the complete prefix blocks of a prompt. Each hash covers its block and
 * all blocks before, so equal hashes mean equal prefixes.
 */
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
 * Records which prefix blocks are believed to be in each runner's KV cache, by
 * the cache events of its engine. These events arrive late and may have gaps. A
 * wrong record only costs time; the answers stay correct.
 */
export class PrefixIndex {
  readonly #cachedBlocks = new Map<string, Set<string>>();

  /** Applies a runner's cache events; a gap clears the runner's record. */
  apply(runner: string, changes: wire.CacheChange[]): void {
    for (const change of changes) {
      if (change.gap) this.#cachedBlocks.delete(runner);
      const cached = this.#cachedBlocksOf(runner);
      for (const block of change.removed) cached.delete(block);
      for (const block of change.stored) this.#add(cached, block);
    }
  }

  /** Records a prompt that was just sent, before the engine's event arrives. */
  assumeCached(runner: string, blocks: string[]): void {
    const cached = this.#cachedBlocksOf(runner);
    for (const block of blocks) this.#add(cached, block);
  }

  /**
   * Estimates the tokens of the longest prefix in the runner's cache, at 4
   * characters per token.
   */
  countPrefixTokens(runner: string, blocks: string[]): number {
    const cached = this.#cachedBlocks.get(runner);
    if (!cached) return 0;
    let count = 0;
    while (count < blocks.length && cached.has(blocks[count])) count++;
    return (count * engine.PREFIX_BLOCK_CHARACTERS) / 4;
  }

  /** Drops the record of a runner that was replaced or departed. */
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
