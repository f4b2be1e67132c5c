/**
 * Numbers that the leader of a group takes in a second, one for each expert of each
 * layer in a reading. One or two bytes each, that is a fifth of the slowest host's
 * link (5.6 Mbit/s). Sixty-three ranks that all tell ten times a second come to 1.3
 * million, more than that link carries, by sizes and rates; on such days the first map
 * (slowest rank 3.7 times the mean) stayed in force, and with this bound it does not.
 */
const NUMBERS_PER_SECOND = 80_000;
/** How often a rank tells what its requests choose, where all may, in milliseconds. */
export const COUNT_MILLISECONDS = 100;
/**
 * Ranks that tell where not all may. They run some fifty requests at once, by which a
 * shift shows as surely as in a group of twelve; any rank runs any kind of request.
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
}): CountPlan {
  const { linked, numbersPerReading } = parameters;
  const perSecond = (ranks: number) =>
    (ranks * numbersPerReading * 1_000) / COUNT_MILLISECONDS;
  if (perSecond(linked.length) <= NUMBERS_PER_SECOND) {
    const tellers = new Set(linked);
    return { tellers, periodMilliseconds: COUNT_MILLISECONDS };
  }
  const tellers = new Set(linked.slice(0, FEW_TELLERS));
  const excess = perSecond(tellers.size) / NUMBERS_PER_SECOND;
  const periodMilliseconds = COUNT_MILLISECONDS * Math.max(1, excess);
  return { tellers, periodMilliseconds: Math.round(periodMilliseconds) };
}
