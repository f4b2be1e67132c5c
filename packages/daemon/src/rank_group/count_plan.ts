/**
 * Share of the leader's network link that the ranks may use to report how often
 * they activated each expert. With a larger share, the states of the ranks and
 * their replies to the leader's orders wait behind these counts, and the group
 * keeps a map that no longer fits demand.
 */
const MAX_LINK_SHARE = 0.35;
/**
 * Mean size of a count on the wire: small numbers take one byte, larger ones
 * two or more.
 */
const BYTES_PER_COUNT = 1.7;
/**
 * How often a rank reads and reports its counts in a group in which all ranks
 * do. A reading consists of the activations since the reading before.
 */
export const COUNT_PERIOD_MILLISECONDS = 100;
/**
 * How many ranks report if the reports of all ranks would exceed
 * `MAX_LINK_SHARE`. Any rank runs any kind of request, so the counts of these
 * ranks represent the group; and together they run enough requests to tell a
 * shift of demand from chance.
 */
const MAX_REPORTERS_IF_NOT_ALL = 8;

/** Which ranks report their activations to the leader, and how often. */
export interface CountPlan {
  reporters: ReadonlySet<number>;
  periodMilliseconds: number;
}

/**
 * Plans the reports for groups of any size, so that the leader's network link
 * and its processor can handle them. All ranks report if the link can carry
 * that; if not, the first linked ranks do, at a period that the link can carry.
 */
export function planCounts(parameters: {
  /**
   * Ranks that can report, because the leader has a link to the process beside
   * them (its own rank included), in rising order.
   */
  linkedRanks: readonly number[];
  /**
   * How many counts a rank reports for one reading: one for each expert of each
   * layer. 0 while the leader does not know the group's model.
   */
  countsPerReading: number;
  /** Bytes per second that the network link of the leader's host carries. */
  linkBytesPerSecond: number;
}): CountPlan {
  const { linkedRanks, countsPerReading, linkBytesPerSecond } = parameters;
  // A leader that does not know the model of its group cannot plan maps from
  // counts. If all ranks of a busy group sent them nevertheless, they would
  // fill the leader's network link, and the model, which the leader reads over
  // the same link, would never arrive. The group would keep the map with which
  // it started, under which all streams are late.
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
  const reporters = new Set(linkedRanks.slice(0, MAX_REPORTERS_IF_NOT_ALL));
  const excess = bytesPerSecond(reporters.size) / maxBytesPerSecond;
  const periodMilliseconds = COUNT_PERIOD_MILLISECONDS * Math.max(1, excess);
  return { reporters, periodMilliseconds: Math.round(periodMilliseconds) };
}
