/**
 * Added to the urgency of a request that will be late in any case; a higher
 * number is less urgent.
 */
const LATE_DEMOTION = 3;
/** Number of the lowest urgency that runners support. */
const LOWEST_URGENCY = 9;
/**
 * Fraction of the route's objective that may have elapsed if a request is still
 * to be in time. A runner with room needs the rest for the first event of an
 * answer. The objective is the time within which the complete answer or its
 * first event should arrive.
 */
const MAX_ELAPSED_FRACTION = 0.6;

/**
 * Returns the urgency to send to a runner. After an outage of a group, the
 * requests of about a second have waited and go to the runners at the same
 * time. All of them are late; in order of arrival they would make later
 * requests late too, until the backlog is gone. With a lower urgency, runners
 * process them when they have room. `elapsedMilliseconds` is the time since the
 * request arrived, plus the time that the caller spent on its earlier tries.
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
