import type * as common from "@geraniumkeel/common";
import type * as iterationTimeModel from "@geraniumkeel/daemon/routing/iteration_time_model";

/** A request at a rank. */
export interface Sequence {
  promptTokens: number;
  promptLeft: number;
  generated: number;
  length: number;
  arrivedAt: number;
}

/** One rank of a modelled group. */
export interface Rank {
  sequences: Sequence[];
  waiting: Sequence[];
}

const LONGEST_PROMPT = 4_000;
const LONGEST_ANSWER = 800;
const PREFILL_CHUNK = 512;
const BATCH_LIMIT = 64;
const COST = { constant: 6, sequence: 0.12, cached: 0.0012, prefill: 0.006 };

/** A rank with nothing to do. */
export function idleRank(): Rank {
  return { sequences: [], waiting: [] };
}

/** A request with a heavy-tailed prompt and answer. */
export function newSequence(
  random: common.Random,
  arrivedAt: number,
): Sequence {
  const prompt = Math.round(random.pareto(60, 1.3));
  const answer = Math.round(random.pareto(30, 1.4));
  const promptTokens = Math.min(LONGEST_PROMPT, prompt);
  const length = Math.min(LONGEST_ANSWER, answer);
  const promptLeft = promptTokens;
  return { promptTokens, promptLeft, generated: 0, length, arrivedAt };
}

/** What a load report would tell of a rank. */
export function workOf(rank: Rank): iterationTimeModel.RankWork {
  let cachedTokens = 0;
  let prefillTokens = 0;
  for (const one of rank.sequences) {
    cachedTokens += one.promptTokens - one.promptLeft + one.generated;
    prefillTokens += one.promptLeft;
  }
  return { sequences: rank.sequences.length, cachedTokens, prefillTokens };
}

/** Time of the rank's next step, in milliseconds. */
export function timeOf(rank: Rank): number {
  const work = workOf(rank);
  return (
    COST.constant +
    COST.sequence * work.sequences +
    COST.cached * work.cachedTokens +
    COST.prefill * Math.min(PREFILL_CHUNK, work.prefillTokens)
  );
}

/** Takes a step; `onToken` is called before each token is counted. */
export function advance(
  rank: Rank,
  onToken: (sequence: Sequence) => void,
): void {
  const room = BATCH_LIMIT - rank.sequences.length;
  rank.sequences.push(...rank.waiting.splice(0, room));
  let budget = PREFILL_CHUNK;
  for (const one of rank.sequences) {
    if (one.promptLeft > 0) {
      const done = Math.min(budget, one.promptLeft);
      one.promptLeft -= done;
      budget -= done;
      continue;
    }
    onToken(one);
    one.generated++;
  }
  rank.sequences = rank.sequences.filter((one) => one.generated < one.length);
}
