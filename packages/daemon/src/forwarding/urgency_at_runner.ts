/**
 * Added to the urgency of a request that will be late in any case; a higher
 * number is less urgent.
 */
const LATE_DEMOTION = 3;
/** Number of the lowest urgency that runners support. */
const LOWEST_URGENCY = 9;
/**
 * Fraction of its objective that a request may have spent at this entry and
 * still be in time. A runner with room needs the rest for the first event of an
 * answer.
 */
const MAX_ELAPSED_FRACTION = 0.6;

/**
 * Returns the urgency to send to a runner. After an outage a second's worth of
 * requests waits and goes to the runners at the same time. All of them are
 * late; in order of arrival they would make later requests late too, until the
 * backlog is gone. With a lower urgency, runners process them when they have
 * room.
 */
export function urgencyAtRunner(parameters: {
  urgency: number;
  elapsedMilliseconds: number;
  objectiveMilliseconds: number;
}): number {
  const { urgency, elapsedMilliseconds, objectiveMilliseconds } = parameters;
  const late =
    elapsedMilliseconds > objectiveMilliseconds * MAX_ELAPSED_FRACTION;
  return Math.min(LOWEST_URGENCY, late ? urgency + LATE_DEMOTION : urgency);
}
