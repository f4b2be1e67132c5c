import type * as traffic from "@geraniumkeel/traffic";

/** Work of one pass of a group whose ranks advance in lock-step. */
export interface IterationWork {
  /** Requests that are being written, over all ranks. */
  decoding: number;
  /** Prompt tokens read in the pass, over all ranks. */
  promptTokens: number;
}

/** Length of one pass, in milliseconds, with no work in it. */
export function emptyIterationMilliseconds(shape: traffic.EngineShape): number {
  return shape.stepsPerPass * shape.stepMilliseconds;
}

/** Work of a pass on the mean rank, in milliseconds. */
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
 * Prompt tokens that a group reads a pass while a number of requests is written, in
 * the long run: each request that ends is followed by one whose prompt is read.
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
 * Length of a pass when the rank with the most chosen experts has `skew` times the
 * mean: the part of the work that follows the map waits for that rank. The rest is
 * taken as even, which it is within a few milliseconds.
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
