import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import type * as wire from "@geraniumkeel/wire";

/**
 * Blocks recorded per runner; beyond this the index drops the oldest. The KV
 * cache of an engine is limited as well, by a size that the index does not
 * know.
 */
const MAX_BLOCKS_PER_RUNNER = 16_384;
/** Prefix blocks of a prompt that are hashed; the rest of it is ignored. */
const MAX_BLOCKS_PER_PROMPT = 256;

/**
 * Hashes the complete prefix blocks of a prompt. A prefix block is a piece of
 * the prompt's text of `PREFIX_BLOCK_CHARACTERS` characters, not a block of
 * tokens. Each hash covers its block and all blocks before, so equal hashes
 * mean equal prefixes. Engines report cached blocks by the same hashes.
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
 * Records, by their hashes, which prefix blocks are probably in the KV cache of
 * each runner's engine. The record follows the cache events that the engine
 * reports, and the prompts that were just sent to it. The events arrive late
 * and may have gaps. A wrong record only costs time; the answers stay correct.
 */
export class PrefixIndex {
  readonly #cachedBlocks = new Map<string, Set<string>>();

  /**
   * Applies `changes`, the cache events of a runner's engine, in their order.
   * Where events were lost (`gap`), clears the runner's record first.
   */
  apply(runner: string, changes: wire.CacheChange[]): void {
    for (const change of changes) {
      if (change.gap) this.#cachedBlocks.delete(runner);
      const cached = this.#cachedBlocksOf(runner);
      for (const block of change.removed) cached.delete(block);
      for (const block of change.stored) this.#add(cached, block);
    }
  }

  /**
   * Records the blocks of a prompt for a runner that was just chosen for it,
   * before the engine's event arrives.
   */
  assumeCached(runner: string, blocks: string[]): void {
    const cached = this.#cachedBlocksOf(runner);
    for (const block of blocks) this.#add(cached, block);
  }

  /**
   * Estimates how many tokens of a prompt are in the KV cache of the runner's
   * engine. `blocks` are the hashes of the prompt's prefix blocks. Counts the
   * recorded blocks from the first one to the first gap, at 4 characters per
   * token.
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

  /**
   * Records a block as the newest one: a set keeps the order of insertion, so
   * the block is removed and inserted again. If there are too many blocks,
   * drops the oldest.
   */
  #add(cached: Set<string>, block: string): void {
    cached.delete(block);
    cached.add(block);
    if (cached.size <= MAX_BLOCKS_PER_RUNNER) return;
    const [oldest] = cached;
    cached.delete(oldest);
  }
}
