import type * as wire from "@geraniumkeel/wire";

/** Fullness of a group's slots up to which a faster pass serves nobody better. */
const IDLE_FULLNESS = 0.15;
/** Fullness from which requests wait for a slot that faster passes would free. */
const BUSY_FULLNESS = 0.45;
/**
 * Part of the slowest ranks' time that loading one expert must save. A copy moves
 * 580 MB, which is charged like the answer to a sixteenth of a request; a map
 * lasts some four seconds, in which a busy group of eight answers 100 requests,
 * so there one percent more of them repays a copy several times. A group with
 * room answers no request more: only the worst peaks are levelled there.
 */
const IDLE_GAIN = 0.05;
const BUSY_GAIN = 0.01;

/**
 * Part of a group's slots that is taken, with what waits for one. A group with its
 * first map counts as full: it was formed a moment ago, mostly after an outage, and
 * the backlog is on its way. Planned for the few that had arrived, the second map
 * left the slowest rank 1.5 to 1.7 times the mean for another 0.7 s; planned as
 * full, 1.2 times.
 */
export function fullnessOf(
  statuses: readonly wire.RankStatus[],
  slots: number,
): number {
  if (statuses.every(({ mapVersion }) => mapVersion === 0)) return 1;
  const requests = statuses.reduce(
    (sum, { active, waiting }) => sum + active + waiting,
    0,
  );
  return requests / Math.max(1, statuses.length * slots);
}

/**
 * Part of the slowest ranks' time that a copy has to save at a fullness. For days
 * on which demand shifts every few seconds while load swings between a quarter of
 * the slots and all of them.
 */
export function leastGainOfCopy(fullness: number): number {
  const span = BUSY_FULLNESS - IDLE_FULLNESS;
  const position = Math.min(1, Math.max(0, (fullness - IDLE_FULLNESS) / span));
  // Even steps in the logarithm: the gain of further copies falls like that.
  return IDLE_GAIN * (BUSY_GAIN / IDLE_GAIN) ** position;
}
