import type * as common from "@geraniumkeel/common";
import type * as chooseRank from "./choose_rank.ts";

/** A group as a candidate for a request, with the rank it would use there. */
export interface GroupCandidate {
  /** Sequences of the whole group, each held back by a longer step. */
  sequences: number;
  rank: chooseRank.RankChoice;
  /** One-way distance of the rank in milliseconds. */
  distanceMilliseconds: number;
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
  /** Steps that the request is expected to take. */
  iterations: number;
  random: common.Random;
}): number | undefined {
  const { candidates, iterations, random } = parameters;
  if (candidates.length === 0) return undefined;
  const costs = candidates.map((candidate) =>
    costMilliseconds(candidate, iterations),
  );
  const bestIndex = costs.indexOf(Math.min(...costs));
  const costLimit = (1 + NEAR_BEST_SHARE) * costs[bestIndex];
  // Sharing is no reason to go farther than the best one is.
  const maxDistanceMilliseconds = candidates[bestIndex].distanceMilliseconds;
  const nearBest = candidates.flatMap(({ distanceMilliseconds }, index) =>
    costs[index] <= costLimit && distanceMilliseconds <= maxDistanceMilliseconds
      ? [index]
      : [],
  );
  return random.pick(nearBest);
}

/** Delay of all others per step, and the request's own time per step. */
function costMilliseconds(
  candidate: GroupCandidate,
  iterations: number,
): number {
  const { sequences, rank, distanceMilliseconds } = candidate;
  const ownMilliseconds = Math.max(
    rank.iterationMilliseconds,
    rank.rankMilliseconds,
  );
  const roundTrip = (2 * distanceMilliseconds) / Math.max(1, iterations);
  return rank.growthMilliseconds * sequences + ownMilliseconds + roundTrip;
}
