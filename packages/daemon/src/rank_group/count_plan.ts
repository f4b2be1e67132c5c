/**
 * Share of the leader's network link that counts may use. With a larger share,
 * states and answers to orders wait behind them, and the group keeps a map that
 * no longer fits demand.
 */
const MAX_LINK_SHARE = 0.35;
/**
 * Mean size of a count on the wire: small numbers take one byte, larger ones
 * two or more.
 */
const BYTES_PER_COUNT = 1.7;
/** How often a rank reports its activations where all ranks may report. */
export const COUNT_PERIOD_MILLISECONDS = 100;
/**
 * How many ranks report where not all may. Together they run enough requests to
 * tell a shift of demand from chance, and any rank runs any kind of request.
 */
const MAX_REPORTERS_IN_LARGE_GROUP = 8;

/** Which ranks report their activations to the leader, and how often. */
export interface CountPlan {
  reporters: ReadonlySet<number>;
  periodMilliseconds: number;
}

/**
 * Plans the reports for groups of any size: as many reporting ranks as the
 * leader's link and processor can handle.
 */
export function planCounts(parameters: {
  /** Ranks that can report, in rising order. */
  linkedRanks: readonly number[];
  /**
   * How many counts one reading has: the experts over all layers. 0 while the
   * model is unknown.
   */
  countsPerReading: number;
  /** Bytes per second that the network link of the leader's host carries. */
  linkBytesPerSecond: number;
}): CountPlan {
  const { linkedRanks, countsPerReading, linkBytesPerSecond } = parameters;
  // A leader that does not know the model of its group cannot plan by counts.
  // If all ranks of a busy group sent them nevertheless, they would fill the
  // leader's link, and the model, which the leader reads over the same link,
  // would never arrive. The group would keep its first map, and all streams
  // would be late.
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
