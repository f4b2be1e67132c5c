import type * as common from "@geraniumkeel/common";
import type * as chooseRank from "./choose_rank.ts";

/** A group to which a request may be sent. */
export interface GroupCandidate {
  /** Sequences in the group; a longer iteration delays each of them. */
  sequences: number;
  /** The rank that the request would use in this group, with predictions. */
  choice: chooseRank.RankChoice;
  /** One-way network delay from the entry to that rank in milliseconds. */
  distanceMilliseconds: number;
}

/**
 * A group counts as equal to the best one if its cost is higher by at most this
 * share. Every entry chooses by load reports that are already somewhat old. If
 * each took the group with the lowest cost, all entries would choose the same
 * group until the next report, which is worse than a random choice.
 */
const NEAR_BEST_SHARE = 0.4;

/**
 * Chooses the group in which the request causes the least delay per iteration,
 * summed over the sequences of the group and the request itself; its network
 * delay counts too. A request with a long context thus joins a group that a
 * request with another long context already slows: there it delays no other
 * sequence, and the other groups stay fast. Of the groups whose cost is near
 * the lowest (see `NEAR_BEST_SHARE`) and which are no farther away than the
 * best one, it picks one at random. Returns the index of the candidate, or
 * `undefined` if there is none.
 */
export function chooseGroup(parameters: {
  candidates: GroupCandidate[];
  /** Iterations that the request is expected to take. */
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
  // A group that is farther away than the best one gets no share of the
  // requests, even if its cost is near the lowest.
  const maxDistanceMilliseconds = candidates[bestIndex].distanceMilliseconds;
  const nearBest = candidates.flatMap(({ distanceMilliseconds }, index) =>
    costs[index] <= costLimit && distanceMilliseconds <= maxDistanceMilliseconds
      ? [index]
      : [],
  );
  return random.pick(nearBest);
}

/**
 * Cost of the request in this group, in milliseconds per iteration: the delay
 * that it adds to the other sequences in sum, plus its own iteration time, plus
 * its one network round trip divided by its number of iterations.
 */
function costMilliseconds(
  candidate: GroupCandidate,
  iterations: number,
): number {
  const { sequences, choice, distanceMilliseconds } = candidate;
  const ownMilliseconds = Math.max(
    choice.iterationMilliseconds,
    choice.rankMilliseconds,
  );
  const roundTrip = (2 * distanceMilliseconds) / Math.max(1, iterations);
  return choice.growthMilliseconds * sequences + ownMilliseconds + roundTrip;
}
