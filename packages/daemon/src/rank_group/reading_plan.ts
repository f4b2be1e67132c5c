import type * as wire from "@geraniumkeel/wire";

/** What the process beside a rank is to its group. */
export enum GroupRole {
  /** It leads the group. */
  Leader = "leads",
  /** It leads the group, and has it switch to another map. */
  Switching = "switches",
  /** It hears a leader. */
  Follower = "follows",
  /** It hears none. */
  Leaderless = "alone",
}

/**
 * How often a follower reads its engine's state while nothing is asked of it. What
 * happens to the group the leader sees at its own rank; from the others it learns that
 * they are there, which counts for 900 ms, and how many requests they have.
 */
const FOLLOWER_PERIOD_MILLISECONDS = 500;
/** The same for a leader, and for a rank without one. */
const CALM_PERIOD_MILLISECONDS = 300;
/** The same for a leader whose group runs requests: it aims switches by the passes. */
const LEADER_PERIOD_MILLISECONDS = 150;
/** While the engine has told nothing yet: it may take seconds to start. */
const UNKNOWN_STATE_PERIOD_MILLISECONDS = 100;
/** While the rank holds a pass, or its own process has the group switch. */
const CLOSE_PERIOD_MILLISECONDS = 40;
/**
 * While the group is being formed, or has its first map with requests there: that map
 * leaves the slowest rank almost three times the mean until demand is known.
 */
const NEWLY_FORMED_PERIOD_MILLISECONDS = 80;
/** While a map should be loaded: all ranks wait for the one that is seen last. */
const LOADED_PERIOD_MILLISECONDS = 15;
/** After this time beyond the one in which a map should be loaded, reading it so is vain. */
const OVERDUE_MILLISECONDS = 400;

/** How often choices are read while few requests run: little is gained by haste. */
const MIN_IDLE_COUNT_PERIOD_MILLISECONDS = 300;
/** Requests from which an engine counts as busy. */
const MIN_BUSY_REQUESTS = 3;

/** What decides when an engine is read. */
export interface ReadingState {
  role: GroupRole;
  /** As last read; `undefined` before the first reading. */
  status: wire.RankStatus | undefined;
  /** When the map that the engine loads should be there; `undefined` if it loads none. */
  expectedLoadedAt: number | undefined;
  /** Until when the state is read closely: the rank is about to hold a pass. */
  closelyUntil: number;
  /** How often the leader asks for choices; 0 for never. */
  countMilliseconds: number;
  now: number;
}

/**
 * When an engine's state is read next. For groups of which each rank's process has a
 * small part of a core: every reading costs as much as some hundred messages' bytes, and
 * most of what it tells is known at another rank.
 */
export function nextStateReadingAt(
  state: ReadingState,
  readAt: number,
): number {
  const { status, expectedLoadedAt, closelyUntil, now } = state;
  if (!status) return readAt + UNKNOWN_STATE_PERIOD_MILLISECONDS;
  const isClose = now < closelyUntil || status.heldStep >= 0;
  if (isClose) return readAt + CLOSE_PERIOD_MILLISECONDS;
  const period = periodOf(state, status);
  if (expectedLoadedAt === undefined) return readAt + period;
  // Nothing is new before the map is there.
  const isOverdue = now > expectedLoadedAt + OVERDUE_MILLISECONDS;
  const pause = isOverdue
    ? CLOSE_PERIOD_MILLISECONDS
    : LOADED_PERIOD_MILLISECONDS;
  return Math.max(expectedLoadedAt, readAt + pause);
}

function periodOf(state: ReadingState, status: wire.RankStatus): number {
  const { role, countMilliseconds } = state;
  if (!status.open) return NEWLY_FORMED_PERIOD_MILLISECONDS;
  const hasRequests = status.active + status.waiting > 0;
  switch (role) {
    case GroupRole.Switching:
      return CLOSE_PERIOD_MILLISECONDS;
    case GroupRole.Leader:
      if (!hasRequests) return CALM_PERIOD_MILLISECONDS;
      return status.mapVersion === 0
        ? NEWLY_FORMED_PERIOD_MILLISECONDS
        : LEADER_PERIOD_MILLISECONDS;
    case GroupRole.Leaderless:
      return CALM_PERIOD_MILLISECONDS;
    case GroupRole.Follower: {
      const reportsFirstCounts =
        hasRequests && status.mapVersion === 0 && countMilliseconds > 0;
      return reportsFirstCounts
        ? NEWLY_FORMED_PERIOD_MILLISECONDS
        : FOLLOWER_PERIOD_MILLISECONDS;
    }
  }
}

/** When an engine's choices are read next; never if nobody asks or nothing runs. */
export function nextCountReadingAt(
  state: ReadingState,
  readAt: number,
  allReport: boolean,
): number {
  const { status, countMilliseconds } = state;
  if (countMilliseconds === 0 || !status) return Infinity;
  const requests = status.active + status.waiting;
  if (requests === 0) return Infinity;
  if (allReport && isNewlyFormed(status))
    return readAt + NEWLY_FORMED_PERIOD_MILLISECONDS;
  const isBusy = requests >= MIN_BUSY_REQUESTS;
  const period = isBusy
    ? countMilliseconds
    : Math.max(countMilliseconds, MIN_IDLE_COUNT_PERIOD_MILLISECONDS);
  return readAt + period;
}

/** Whether the group is being formed, or still has its first map. */
export function isNewlyFormed(status: wire.RankStatus): boolean {
  return !status.open || status.mapVersion === 0;
}
