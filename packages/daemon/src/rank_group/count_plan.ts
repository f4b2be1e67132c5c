/**
 * Part of the leader's link that counts may fill. With more, states and answers to
 * orders wait behind them, and the group keeps a map that no longer fits.
 */
const MAX_LINK_SHARE = 0.35;
/** Mean bytes of a count on the wire: small numbers take one, others two and more. */
const BYTES_PER_COUNT = 1.7;
/** How often a rank tells what its requests choose, where all may, in milliseconds. */
export const COUNT_PERIOD_MILLISECONDS = 100;
/**
 * Ranks that tell where not all may: together they run requests enough for a shift to
 * show above chance, and any rank runs any kind of request.
 */
const MAX_REPORTERS_IN_LARGE_GROUP = 8;

/** Which ranks tell what their requests choose, and how often. */
export interface CountPlan {
  reporters: ReadonlySet<number>;
  periodMilliseconds: number;
}

/** For groups of any size: as many tellers as the leader's link and processor carry. */
export function planCounts(parameters: {
  /** Ranks that can be asked, in order. */
  linkedRanks: readonly number[];
  /** Experts over all layers; 0 while the engines are not known. */
  countsPerReading: number;
  /** What the link of the leader's host carries. */
  linkBytesPerSecond: number;
}): CountPlan {
  const { linkedRanks, countsPerReading, linkBytesPerSecond } = parameters;
  // A leader that does not know the engines can plan nothing by counts. Told by all
  // ranks of a busy group they fill its link, and what it reads to know the engines
  // never arrives: the group keeps its first map, and all streams are late.
  if (countsPerReading <= 0) {
    return {
      reporters: new Set(),
      periodMilliseconds: COUNT_PERIOD_MILLISECONDS,
    };
  }
  const readingBytes = countsPerReading * BYTES_PER_COUNT;
  const maxBytesPerSecond = linkBytesPerSecond * MAX_LINK_SHARE;
  const bytesPerSecond = (ranks: number) =>
    (ranks * readingBytes * 1_000) / COUNT_PERIOD_MILLISECONDS;
  if (bytesPerSecond(linkedRanks.length) <= maxBytesPerSecond) {
    const reporters = new Set(linkedRanks);
    return { reporters, periodMilliseconds: COUNT_PERIOD_MILLISECONDS };
  }
  const reporters = new Set(linkedRanks.slice(0, MAX_REPORTERS_IN_LARGE_GROUP));
  const excess = bytesPerSecond(reporters.size) / maxBytesPerSecond;
  const periodMilliseconds = COUNT_PERIOD_MILLISECONDS * Math.max(1, excess);
  return { reporters, periodMilliseconds: Math.round(periodMilliseconds) };
}
