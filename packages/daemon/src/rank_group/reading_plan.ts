import type * as wire from "@geraniumkeel/wire";

/** What the process beside a rank is to its group. */
export enum Part {
  /** It leads the group. */
  Leads = "leads",
  /** It leads the group, and has it switch to another map. */
  Switches = "switches",
  /** It hears a leader. */
  Follows = "follows",
  /** It hears none. */
  Alone = "alone",
}

/**
 * How often a follower reads its engine's state while nothing is asked of it. What
 * happens to the group the leader sees at its own rank; from the others it learns that
 * they are there, which counts for 900 ms, and how many requests they have.
 */
const FOLLOWER_MILLISECONDS = 500;
/** The same for a leader, and for a rank without one. */
const CALM_MILLISECONDS = 300;
/** The same for a leader whose group runs requests: it aims switches by the passes. */
const LEADER_MILLISECONDS = 150;
/** While the engine has told nothing yet: it may take seconds to start. */
const UNKNOWN_MILLISECONDS = 100;
/** While the rank holds a pass, or its own process has the group switch. */
const CLOSE_MILLISECONDS = 40;
/**
 * While the group is being formed, or has its first map with requests there: that map
 * leaves the slowest rank almost three times the mean until demand is known.
 */
const YOUNG_MILLISECONDS = 80;
/** While a map should be loaded: all ranks wait for the one that is seen last. */
const LOADED_MILLISECONDS = 15;
/** After this time beyond the one in which a map should be loaded, reading it so is vain. */
const OVERDUE_MILLISECONDS = 400;

/** How often choices are read while few requests run: little is gained by haste. */
const SELDOM_COUNT_MILLISECONDS = 300;
/** Requests from which an engine counts as busy. */
const SEVERAL_REQUESTS = 3;

/** What decides when an engine is read. */
export interface ReadingState {
  part: Part;
  /** As last read; `undefined` before the first reading. */
  status: wire.RankStatus | undefined;
  /** When the map that the engine loads should be there; `undefined` if it loads none. */
  loadedAt: number | undefined;
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
export function nextStateAt(state: ReadingState, readAt: number): number {
  const { status, loadedAt, closelyUntil, now } = state;
  if (!status) return readAt + UNKNOWN_MILLISECONDS;
  const isClose = now < closelyUntil || status.heldStep >= 0;
  if (isClose) return readAt + CLOSE_MILLISECONDS;
  const period = calmPeriod(state, status);
  if (loadedAt === undefined) return readAt + period;
  // Nothing is new before the map is there.
  const isOverdue = now > loadedAt + OVERDUE_MILLISECONDS;
  const pause = isOverdue ? CLOSE_MILLISECONDS : LOADED_MILLISECONDS;
  return Math.max(loadedAt, readAt + pause);
}

function calmPeriod(state: ReadingState, status: wire.RankStatus): number {
  const { part, countMilliseconds } = state;
  if (!status.open) return YOUNG_MILLISECONDS;
  const runs = status.active + status.waiting > 0;
  switch (part) {
    case Part.Switches:
      return CLOSE_MILLISECONDS;
    case Part.Leads:
      if (!runs) return CALM_MILLISECONDS;
      return status.mapVersion === 0 ? YOUNG_MILLISECONDS : LEADER_MILLISECONDS;
    case Part.Alone:
      return CALM_MILLISECONDS;
    case Part.Follows: {
      const tellsFirstCounts =
        runs && status.mapVersion === 0 && countMilliseconds > 0;
      return tellsFirstCounts ? YOUNG_MILLISECONDS : FOLLOWER_MILLISECONDS;
    }
  }
}

/** When an engine's choices are read next; never if nobody asks or nothing runs. */
export function nextCountAt(
  state: ReadingState,
  readAt: number,
  allTell: boolean,
): number {
  const { status, countMilliseconds } = state;
  if (countMilliseconds === 0 || !status) return Infinity;
  const requests = status.active + status.waiting;
  if (requests === 0) return Infinity;
  if (allTell && isYoung(status)) return readAt + YOUNG_MILLISECONDS;
  const several = requests >= SEVERAL_REQUESTS;
  const period = several
    ? countMilliseconds
    : Math.max(countMilliseconds, SELDOM_COUNT_MILLISECONDS);
  return readAt + period;
}

/** Whether the group is being formed, or still has its first map. */
export function isYoung(status: wire.RankStatus): boolean {
  return !status.open || status.mapVersion === 0;
}
