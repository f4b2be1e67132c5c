import type * as runnerPool from "./runner_pool.ts";

/** Time over which requests are counted, in milliseconds. */
export const WINDOW_MILLISECONDS = 4_000;
/** Time after the first naming from which on a limit must hold. */
export const IN_FORCE_MILLISECONDS = 3_000;
/** Time after which an entry that was told must hold the limit. */
const TOLD_MILLISECONDS = 500;

/** Most requests that a limit allows in a window, from all entries together. */
export function mostAllowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MILLISECONDS) / 1_000 + 5;
}

/**
 * Most requests that reached a runner in any window, from entries that it had
 * told its limit half a second before or earlier. Windows count that end once
 * the limit must hold.
 */
export function mostInWindow(
  { arrivals, namings }: runnerPool.RunnerPool,
  runner: string,
): number {
  const told = new Map<string, number>();
  for (const naming of namings) {
    if (naming.runner !== runner || told.has(naming.entry)) continue;
    told.set(naming.entry, naming.at);
  }
  const inForceAt = Math.min(...told.values()) + IN_FORCE_MILLISECONDS;
  const counted = arrivals
    .filter((arrival) => arrival.runner === runner)
    .filter(({ entry, at }) => {
      return at >= (told.get(entry) ?? Infinity) + TOLD_MILLISECONDS;
    })
    .map(({ at }) => at);
  const ends = counted.filter((at) => at >= inForceAt);
  const sizes = ends.map(
    (end) =>
      counted.filter((at) => at > end - WINDOW_MILLISECONDS && at <= end)
        .length,
  );
  return Math.max(0, ...sizes);
}
