import type * as common from "@geraniumkeel/common";
import type * as iterationTimeModel from "./iteration_time_model.ts";

/** One rank as a candidate for a request. */
export interface RankCandidate {
  rank: number;
  work: iterationTimeModel.RankWork;
  /** Whether it may be chosen; others still count for the group's step time. */
  eligible: boolean;
  /** Prompt tokens whose KV cache it is believed to hold. */
  prefixTokens: number;
  /** One-way distance in milliseconds. */
  distanceMilliseconds: number;
}

/** Sizes of the request to be placed. */
export interface RequestSize {
  promptTokens: number;
  expectedTokens: number;
}

/** Chosen candidate, with the figures that explain it. */
export interface RankChoice {
  index: number;
  /** The group's step time before the request, in milliseconds. */
  iterationMilliseconds: number;
  /** Growth of the group's step time in milliseconds. */
  growthMilliseconds: number;
  /** The rank's step time after the request, in milliseconds. */
  rankMilliseconds: number;
}

/**
 * Candidates within this share of the group's step time of the best score count
 * as equal. Many entries choose on nearly the same view: taking the very best
 * sends them all to one rank, taking any of the near-best spreads them.
 */
const NEAR_BEST_SHARE = 0.01;
/** Growth of the group's step holds back every rank, so it weighs more. */
const GROWTH_WEIGHT = 4;

/**
 * The rank whose gain least raises the group's step time. A step takes as long
 * as the slowest rank; a request that fits under the straggler costs nothing.
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
  const choices: (RankChoice & { score: number })[] = [];
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
    const roundTripPerIteration =
      (2 * candidate.distanceMilliseconds) / iterations;
    const score =
      rankMilliseconds +
      GROWTH_WEIGHT * growthMilliseconds +
      roundTripPerIteration;
    bestScore = Math.min(bestScore, score);
    choices.push({
      index,
      iterationMilliseconds: slowestMilliseconds,
      growthMilliseconds,
      rankMilliseconds,
      score,
    });
  }
  if (choices.length === 0) return undefined;
  const scoreLimit = bestScore + NEAR_BEST_SHARE * slowestMilliseconds;
  const nearBest = choices.filter((choice) => choice.score <= scoreLimit);
  return random.pick(nearBest);
}

/** The rank's work with the request added, averaged over the request's life. */
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
