/** How much less urgent a request is that will be late whatever happens. */
const LATE_DEMOTION = 3;
/** Least urgent that a runner knows. */
const LOWEST_URGENCY = 9;
/**
 * Part of its objective that a request may have spent here and still be in time:
 * the rest is what an answer's first event takes at a runner with room.
 */
const MAX_ELAPSED_FRACTION = 0.6;

/**
 * The urgency that a runner is told. After an outage a second's worth of requests
 * waits and goes to the runners at once. All of these are late; in order of
 * arrival they would make those late that come after them too, for as long as the
 * backlog lasts. Told as less urgent they are read when there is room.
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
