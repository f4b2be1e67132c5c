import type * as common from "@geraniumkeel/common";
import type * as stepCost from "./step_cost.ts";

/** One rank as a candidate for a request. */
export interface RankCandidate {
  rank: number;
  work: stepCost.RankWork;
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
  before: number;
  /** Growth of the group's step time in milliseconds. */
  growth: number;
  /** The rank's step time after the request, in milliseconds. */
  after: number;
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
  cost: stepCost.StepCost;
  size: RequestSize;
  random: common.Random;
}): RankChoice | undefined {
  const { candidates, cost, size, random } = parameters;
  let slowest = 0;
  for (const { rank, work } of candidates) {
    slowest = Math.max(slowest, cost.predict(rank, work));
  }
  const choices: (RankChoice & { score: number })[] = [];
  let best = Infinity;
  const steps = Math.max(size.expectedTokens, 1);
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index];
    if (!candidate.eligible) continue;
    const after = cost.predict(candidate.rank, withRequest(candidate, size));
    const growth = Math.max(0, after - slowest);
    const distance = (2 * candidate.distanceMilliseconds) / steps;
    const score = after + GROWTH_WEIGHT * growth + distance;
    best = Math.min(best, score);
    choices.push({ index, before: slowest, growth, after, score });
  }
  if (choices.length === 0) return undefined;
  const limit = best + NEAR_BEST_SHARE * slowest;
  const near = choices.filter((choice) => choice.score <= limit);
  return random.pick(near);
}

/** The rank's work with the request added, averaged over the request's life. */
function withRequest(
  candidate: RankCandidate,
  size: RequestSize,
): stepCost.RankWork {
  const { work } = candidate;
  const fresh = Math.max(0, size.promptTokens - candidate.prefixTokens);
  const steps = Math.max(size.expectedTokens, 1);
  const cached = size.promptTokens + size.expectedTokens / 2;
  return {
    sequences: work.sequences + 1,
    cachedTokens: work.cachedTokens + cached,
    prefillTokens: work.prefillTokens + fresh / steps,
  };
}
