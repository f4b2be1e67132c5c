import * as xxhash from "xxhash-wasm";

let hasher: xxhash.XXHashAPI | undefined;

/**
 * Loads the hash functions; they throw before. `hash_loaded.ts` does it for
 * whoever imports this package. A program that is bundled into a script cannot
 * wait while it is imported, and calls this first.
 */
export async function loadHash(): Promise<void> {
  hasher ??= await xxhash.default();
}

/** 32-bit xxHash of a text. */
export function hash32(text: string): number {
  return loaded().h32(text);
}

/** 64-bit xxHash of a text as 16 hexadecimal digits. */
export function hash64(text: string): string {
  return loaded().h64ToString(text);
}

function loaded(): xxhash.XXHashAPI {
  if (!hasher) throw new Error("hash functions are not loaded yet");
  return hasher;
}

/** How much `key` prefers a candidate; equal ones go by name. */
export function preference(key: string, candidate: string): number {
  return hash32(`${candidate} ${key}`);
}

/** A candidate with the preference of a key for it. */
export interface Preferred {
  candidate: string;
  score: number;
}

/** Whether the first of two candidates is preferred to the second. */
export function isPreferred(left: Preferred, right: Preferred): boolean {
  if (left.score !== right.score) return left.score > right.score;
  return left.candidate < right.candidate;
}

/** Candidates for `key` by preference; the first is its `rendezvous`. */
export function rendezvousOrder(
  key: string,
  candidates: Iterable<string>,
): string[] {
  return [...candidates]
    .map((candidate) => ({ candidate, score: preference(key, candidate) }))
    .sort((left, right) => (isPreferred(left, right) ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/**
 * The candidate that owns `key` by rendezvous hashing: when a candidate comes
 * or goes, only the keys it owned or will own move.
 */
export function rendezvous(
  key: string,
  candidates: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = preference(key, candidate);
    const better = score > bestScore;
    const tie = score === bestScore && best !== undefined && candidate < best;
    if (better || tie) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
