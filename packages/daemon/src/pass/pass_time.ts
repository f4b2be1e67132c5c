import type * as traffic from "@geraniumkeel/traffic";

/** Work of one pass of a group whose ranks advance in lock-step. */
export interface PassWork {
  /** Requests that are being written, over all ranks. */
  writing: number;
  /** Prompt tokens read in the pass, over all ranks. */
  promptTokens: number;
}

/** Length of one pass, in milliseconds, with no work in it. */
export function emptyPass(shape: traffic.EngineShape): number {
  return shape.stepsPerPass * shape.stepMilliseconds;
}

/** Work of a pass on the mean rank, in milliseconds. */
export function meanWork(
  shape: traffic.EngineShape,
  ranks: number,
  { writing, promptTokens }: PassWork,
): number {
  const perSequence = shape.stepsPerPass * shape.sequenceMilliseconds;
  const { promptTokensPerMillisecond: rate } = shape;
  const reading = rate > 0 ? promptTokens / rate : 0;
  return (writing * perSequence + reading) / Math.max(1, ranks);
}

/**
 * Prompt tokens that a group reads a pass while a number of requests is written, in
 * the long run: each request that ends is followed by one whose prompt is read.
 */
export function steadyPromptTokens(
  shape: traffic.EngineShape,
  writing: number,
): number {
  const passesPerAnswer = shape.usualAnswerTokens / shape.stepsPerPass;
  if (!(passesPerAnswer > 0)) return 0;
  return (writing * shape.usualPromptTokens) / passesPerAnswer;
}

/**
 * Length of a pass when the rank with the most chosen experts has `skew` times the
 * mean: the part of the work that follows the map waits for that rank. The rest is
 * taken as even, which it is within a few milliseconds.
 */
export function passMilliseconds(
  shape: traffic.EngineShape,
  workOfMeanRank: number,
  skew: number,
): number {
  const { expertShare } = shape;
  const factor = 1 - expertShare + expertShare * skew;
  return emptyPass(shape) + workOfMeanRank * factor;
}
