import type * as common from "@geraniumkeel/common";
import type * as iterationTimeModel from "./iteration_time_model.ts";

/** One rank of a group, as a candidate for a request. */
export interface RankCandidate {
  /** Number of the rank in its group. */
  rank: number;
  work: iterationTimeModel.RankWork;
  /**
   * Whether the request may be sent to the rank. Ranks that are not eligible
   * are passed as well, because they count for the group's iteration time.
   */
  eligible: boolean;
  /**
   * Estimated tokens of this request's prompt that are already in the KV cache
   * of the rank's engine.
   */
  prefixTokens: number;
  /** One-way network delay from the entry to the rank in milliseconds. */
  distanceMilliseconds: number;
}

/** Size of the request, in text tokens. */
export interface RequestSize {
  promptTokens: number;
  /** Expected length of the answer; each iteration generates one token. */
  expectedTokens: number;
}

/** The rank chosen in a group, with the predictions behind the choice. */
export interface RankChoice {
  /** Index of the candidate. */
  index: number;
  /** The group's iteration time without the request. */
  iterationMilliseconds: number;
  /** By how much the request lengthens the group's iteration. */
  growthMilliseconds: number;
  /** The rank's own iteration time with the request. */
  rankMilliseconds: number;
}

/**
 * Candidates count as equal if their score exceeds the lowest one by at most
 * this share of the group's iteration time. Many entries choose by nearly the
 * same load reports: if each took the lowest score, all would send to one rank;
 * a random choice among the near-best ranks spreads the requests.
 */
const NEAR_BEST_SHARE = 0.01;
/**
 * Weight of the growth of the group's iteration, against 1 for the rank's own
 * iteration time: the growth delays every rank of the group.
 */
const GROWTH_WEIGHT = 4;

/**
 * Chooses the eligible rank with the lowest score: the weighted growth of the
 * group's iteration, plus the rank's own iteration time, plus the network round
 * trip. An iteration takes as long as its slowest rank, so a request does not
 * lengthen it on a rank that stays faster than the slowest one; among such
 * ranks, fast and near ones score best. Of the ranks whose score is near the
 * lowest (see `NEAR_BEST_SHARE`), the function picks one at random. Returns
 * `undefined` if no candidate is eligible.
 */
export function chooseRank(parameters: {
  candidates: RankCandidate[];
  timeModel: iterationTimeModel.IterationTimeModel;
  size: RequestSize;
  random: common.Random;
}): RankChoice | undefined {
  const { candidates, timeModel, size, random } = parameters;
  let slowestMilliseconds = 0;
  for (const { rank, work } of candidates) {
    slowestMilliseconds = Math.max(
      slowestMilliseconds,
      timeModel.predictMilliseconds(rank, work),
    );
  }
  const scoredRanks: (RankChoice & { score: number })[] = [];
  let bestScore = Infinity;
  const iterations = Math.max(size.expectedTokens, 1);
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    if (!candidate.eligible) continue;
    const rankMilliseconds = timeModel.predictMilliseconds(
      candidate.rank,
      withRequest(candidate, size),
    );
    const growthMilliseconds = Math.max(
      0,
      rankMilliseconds - slowestMilliseconds,
    );
    // The request has one round trip, and all other times are per iteration.
    const roundTripMillisecondsPerIteration =
      (2 * candidate.distanceMilliseconds) / iterations;
    const score =
      rankMilliseconds +
      GROWTH_WEIGHT * growthMilliseconds +
      roundTripMillisecondsPerIteration;
    bestScore = Math.min(bestScore, score);
    scoredRanks.push({
      index,
      iterationMilliseconds: slowestMilliseconds,
      growthMilliseconds,
      rankMilliseconds,
      score,
    });
  }
  if (scoredRanks.length === 0) return undefined;
  const scoreLimit = bestScore + NEAR_BEST_SHARE * slowestMilliseconds;
  const nearBest = scoredRanks.filter(
    (scoredRank) => scoredRank.score <= scoreLimit,
  );
  return random.pick(nearBest);
}

/**
 * The rank's work with the request added, as an average over the iterations of
 * the request: on average half of its answer is in the KV cache. The prompt
 * tokens that are not in the KV cache are prefilled once; their number is
 * divided by the number of iterations before it is added to `prefillTokens`.
 */
function withRequest(
  candidate: RankCandidate,
  size: RequestSize,
): iterationTimeModel.RankWork {
  const { work } = candidate;
  const uncachedTokens = Math.max(
    0,
    size.promptTokens - candidate.prefixTokens,
  );
  const iterations = Math.max(size.expectedTokens, 1);
  const meanCachedTokens = size.promptTokens + size.expectedTokens / 2;
  return {
    sequences: work.sequences + 1,
    cachedTokens: work.cachedTokens + meanCachedTokens,
    prefillTokens: work.prefillTokens + uncachedTokens / iterations,
  };
}
