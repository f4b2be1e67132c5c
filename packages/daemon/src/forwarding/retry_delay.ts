import type * as common from "@geraniumkeel/common";
import type * as runnerTracker from "./runner_tracker.ts";

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

/**
 * Random part of the retry delay after a rate limit or a rest, as a fraction of
 * the delay. Without it, callers that got the same delay would return together.
 */
const RETRY_JITTER = 0.25;

/** A paced retry delay with its random part. */
export function jittered(paced: number, random: common.Random): number {
  return paced * random.between(1 - RETRY_JITTER, 1 + RETRY_JITTER);
}

/**
 * Retry delay if runners of the service want rest; 0 otherwise. A little
 * longer than the first rest, so that callers do not all return at its end.
 */
export function restRetryMilliseconds(parameters: {
  tracker: runnerTracker.RunnerTracker;
  service: string;
  random: common.Random;
}): number {
  const { tracker, service, random } = parameters;
  const restEnd = tracker.firstRestEnd(service);
  if (restEnd === undefined || tracker.hasCandidates(service)) return 0;
  return restEnd * random.between(1, 1 + RETRY_JITTER);
}

/** Delay after which a caller that found no runner should retry. */
export function retryDelayMilliseconds(
  millisecondsLeft: number,
  random: common.Random,
): number {
  const fraction = random.between(MIN_DELAY_FRACTION, MAX_DELAY_FRACTION);
  return Math.max(MIN_DELAY_MILLISECONDS, millisecondsLeft * fraction);
}
