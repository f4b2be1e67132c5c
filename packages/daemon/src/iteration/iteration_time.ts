import type * as traffic from "@geraniumkeel/traffic";

/**
 * Work of one iteration of a group whose ranks advance in lock-step. An
 * iteration is the unit that a leader arms, holds and releases; it consists of
 * `stepsPerPass` engine steps.
 */
export interface IterationWork {
  /** Number of requests in the decoding phase, over all ranks. */
  decoding: number;
  /** Number of prompt tokens processed in the iteration, over all ranks. */
  promptTokens: number;
}

/** Length of an iteration without work, in milliseconds. */
export function emptyIterationMilliseconds(shape: traffic.EngineShape): number {
  return shape.stepsPerPass * shape.stepMilliseconds;
}

/** Work of an iteration on the mean rank, in milliseconds. */
export function meanWorkMilliseconds(
  shape: traffic.EngineShape,
  ranks: number,
  { decoding, promptTokens }: IterationWork,
): number {
  const perSequence = shape.stepsPerPass * shape.sequenceMilliseconds;
  const { promptTokensPerMillisecond: rate } = shape;
  const prefill = rate > 0 ? promptTokens / rate : 0;
  return (decoding * perSequence + prefill) / Math.max(1, ranks);
}

/**
 * Number of prompt tokens that a group processes in an iteration while a number
 * of requests is decoding, in the long run: each request that finishes is
 * followed by one whose prompt has to be processed.
 */
export function steadyPromptTokensPerIteration(
  shape: traffic.EngineShape,
  decoding: number,
): number {
  const iterationsPerAnswer = shape.usualAnswerTokens / shape.stepsPerPass;
  if (!(iterationsPerAnswer > 0)) return 0;
  return (decoding * shape.usualPromptTokens) / iterationsPerAnswer;
}

/**
 * Length of an iteration when the rank with the most activated experts takes
 * `skew` times the mean. The part of the work that depends on the map waits for
 * that rank. The rest is assumed to be equal on all ranks, which is true within
 * a few milliseconds.
 */
export function iterationMilliseconds(
  shape: traffic.EngineShape,
  workOfMeanRank: number,
  skew: number,
): number {
  const { expertShare } = shape;
  const factor = 1 - expertShare + expertShare * skew;
  return emptyIterationMilliseconds(shape) + workOfMeanRank * factor;
}
