/**
 * Part of the leader's link that counts may fill. With more, states and answers to
 * orders wait behind them, and the group keeps a map that no longer fits.
 */
const LINK_SHARE = 0.35;
/** Mean bytes of a count on the wire: small numbers take one, others two and more. */
const BYTES_PER_NUMBER = 1.7;
/** How often a rank tells what its requests choose, where all may, in milliseconds. */
export const COUNT_MILLISECONDS = 100;
/**
 * Ranks that tell where not all may: together they run requests enough for a shift to
 * show above chance, and any rank runs any kind of request.
 */
const FEW_TELLERS = 8;

/** Which ranks tell what their requests choose, and how often. */
export interface CountPlan {
  tellers: ReadonlySet<number>;
  periodMilliseconds: number;
}

/** For groups of any size: as many tellers as the leader's link and processor carry. */
export function planCounts(parameters: {
  /** Ranks that can be asked, in order. */
  linked: readonly number[];
  /** Experts over all layers; 0 while the engines are not known. */
  numbersPerReading: number;
  /** What the link of the leader's host carries. */
  linkBytesPerSecond: number;
}): CountPlan {
  const { linked, numbersPerReading, linkBytesPerSecond } = parameters;
  // A leader that does not know the engines can plan nothing by counts. Told by all
  // ranks of a busy group they fill its link, and what it reads to know the engines
  // never arrives: the group keeps its first map, and all streams are late.
  if (numbersPerReading <= 0) {
    return { tellers: new Set(), periodMilliseconds: COUNT_MILLISECONDS };
  }
  const readingBytes = numbersPerReading * BYTES_PER_NUMBER;
  const most = linkBytesPerSecond * LINK_SHARE;
  const perSecond = (ranks: number) =>
    (ranks * readingBytes * 1_000) / COUNT_MILLISECONDS;
  if (perSecond(linked.length) <= most) {
    const tellers = new Set(linked);
    return { tellers, periodMilliseconds: COUNT_MILLISECONDS };
  }
  const tellers = new Set(linked.slice(0, FEW_TELLERS));
  const excess = perSecond(tellers.size) / most;
  const periodMilliseconds = COUNT_MILLISECONDS * Math.max(1, excess);
  return { tellers, periodMilliseconds: Math.round(periodMilliseconds) };
}
