import type * as common from "@geraniumkeel/common";
import type * as chooseRank from "./choose_rank.ts";

/** A group as a candidate for a request, with the rank it would use there. */
export interface GroupCandidate {
  /** Sequences of the whole group, each held back by a longer step. */
  sequences: number;
  rank: chooseRank.RankChoice;
}

/**
 * Groups within this share of the best count as equal. Entries choose on views
 * as old as a load report; taking the very best sent all of them to one group
 * until the next report, and was worse than any group at random.
 */
const NEAR_BEST_SHARE = 0.4;

/**
 * The group whose sequences, the new one included, it delays least per step. A
 * long context then joins a group that a long one slows already, where it costs
 * the others nothing, and the other groups stay fast.
 */
export function chooseGroup(parameters: {
  candidates: GroupCandidate[];
  random: common.Random;
}): number | undefined {
  const { candidates, random } = parameters;
  const costs = candidates.map(costMilliseconds);
  const limit = (1 + NEAR_BEST_SHARE) * Math.min(...costs);
  const near = costs.flatMap((cost, index) => (cost <= limit ? [index] : []));
  return near.length === 0 ? undefined : random.pick(near);
}

/** Delay of all others per step, and the request's own step time. */
function costMilliseconds(candidate: GroupCandidate): number {
  const { sequences, rank } = candidate;
  const ownMilliseconds = Math.max(rank.before, rank.after);
  return rank.growth * sequences + ownMilliseconds;
}
