import type * as common from "@geraniumkeel/common";

/**
 * Parts of a caller's remaining patience after which it is told to come back.
 * When a group loses a rank all its runners refuse for one to three seconds; a
 * caller that comes back sooner is refused again and has used up its one retry.
 * Callers wait a third of their patience at most, and an answer after a refusal
 * is late whenever it comes, so waiting longer costs them nothing. Spread over a
 * range, so that the rush is not repeated as one.
 */
const MIN_DELAY_FRACTION = 0.2;
const MAX_DELAY_FRACTION = 0.32;
/** Shortest time that is told, in milliseconds. */
const MIN_DELAY_MILLISECONDS = 250;

/** When a caller that is refused for want of a runner is to come back. */
export function retryDelayMilliseconds(
  millisecondsLeft: number,
  random: common.Random,
): number {
  const fraction = random.between(MIN_DELAY_FRACTION, MAX_DELAY_FRACTION);
  return Math.max(MIN_DELAY_MILLISECONDS, millisecondsLeft * fraction);
}
