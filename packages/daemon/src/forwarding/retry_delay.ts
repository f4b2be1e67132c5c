import type * as common from "@geraniumkeel/common";

/**
 * Range of the retry delay, as fractions of the caller's remaining time. When a
 * group loses a rank, all its runners refuse requests for one to three seconds;
 * a caller that retries sooner is refused again and has used up its one retry.
 * Callers wait at most a third of their timeout before they retry, and an
 * answer after a refusal is late in any case, so a longer delay costs them
 * nothing. The delays are spread over a range so that the callers do not all
 * retry at once.
 */
const MIN_DELAY_FRACTION = 0.2;
const MAX_DELAY_FRACTION = 0.32;
/** Lower bound of the retry delay. */
const MIN_DELAY_MILLISECONDS = 250;

/** Delay after which a caller that found no runner should retry. */
export function retryDelayMilliseconds(
  millisecondsLeft: number,
  random: common.Random,
): number {
  const fraction = random.between(MIN_DELAY_FRACTION, MAX_DELAY_FRACTION);
  return Math.max(MIN_DELAY_MILLISECONDS, millisecondsLeft * fraction);
}
