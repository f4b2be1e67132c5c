import type * as wire from "@geraniumkeel/wire";

/** Role of the process beside a rank in its group. */
export enum GroupRole {
  /** It leads the group. */
  Leader = "leads",
  /** It leads the group, and a switch to another map is in progress. */
  Switching = "switches",
  /** It receives heartbeats from a leader. */
  Follower = "follows",
  /** It neither leads nor receives heartbeats. */
  Leaderless = "alone",
}

/**
 * How often a follower reads the state of its engine while nothing else is
 * asked of it. The leader sees the state of the group at its own rank. From the
 * others it learns that they are reachable, which counts for 900 ms, and how
 * many requests they have.
 */
const FOLLOWER_PERIOD_MILLISECONDS = 500;
/**
 * The same for the leader of a group without requests, and for a rank without a
 * leader.
 */
const CALM_PERIOD_MILLISECONDS = 300;
/**
 * The same for a leader whose group runs requests. From these readings it
 * measures the iterations, to choose the iteration of a switch.
 */
const LEADER_PERIOD_MILLISECONDS = 150;
/** The same before the first reading. The engine may take seconds to start. */
const UNKNOWN_STATE_PERIOD_MILLISECONDS = 100;
/**
 * The same while the rank holds or is about to hold an iteration, while a map
 * is overdue, and for a leader during a switch. Reading "closely" means at this
 * period.
 */
const CLOSE_PERIOD_MILLISECONDS = 40;
/**
 * The same while the group is not yet open, or has its first map and requests.
 * Under the first map the slowest rank takes almost three times the mean until
 * demand is known.
 */
const NEWLY_FORMED_PERIOD_MILLISECONDS = 80;
/**
 * The same from the time at which a map should be loaded. All ranks wait for
 * the one that is seen last to have loaded it.
 */
const LOADED_PERIOD_MILLISECONDS = 15;
/**
 * Time after the expected end of loading from which reading so often is
 * useless.
 */
const OVERDUE_MILLISECONDS = 400;

/**
 * Shortest period between readings of the activations while few requests run.
 * More frequent ones show little more.
 */
const MIN_IDLE_COUNT_PERIOD_MILLISECONDS = 300;
/** Number of requests from which an engine counts as busy. */
const MIN_BUSY_REQUESTS = 3;

/** What determines when an engine is read. Times are those of `common.now`. */
export interface ReadingState {
  role: GroupRole;
  /** State as last read; `undefined` before the first reading. */
  status: wire.RankStatus | undefined;
  /**
   * When the engine should have loaded its next map; `undefined` if it loads
   * none.
   */
  expectedLoadedAt: number | undefined;
  /**
   * Until when to read the state closely, because the rank is about to hold an
   * iteration.
   */
  closelyUntil: number;
  /** How often the leader wants activations counted; 0 for never. */
  countMilliseconds: number;
  now: number;
}

/**
 * When to read the engine's state next. Meant for groups in which the process
 * beside each rank has a small share of a core: a reading costs as much
 * processor time as the bytes of some hundred messages, and most of what it
 * shows is known at another rank.
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
  // The state shows nothing new before the map is loaded.
  const isOverdue = now > expectedLoadedAt + OVERDUE_MILLISECONDS;
  const pause = isOverdue
    ? CLOSE_PERIOD_MILLISECONDS
    : LOADED_PERIOD_MILLISECONDS;
  return Math.max(expectedLoadedAt, readAt + pause);
}

/**
 * Period of the readings while the engine neither loads a map nor is about to
 * hold an iteration, in milliseconds.
 */
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

/**
 * When to read the engine's activations next; `Infinity` if the leader wants
 * none or no request runs. `allReport`: whether all ranks of the group report.
 */
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

/** Whether the group is not yet open or still uses its first map. */
export function isNewlyFormed(status: wire.RankStatus): boolean {
  return !status.open || status.mapVersion === 0;
}
