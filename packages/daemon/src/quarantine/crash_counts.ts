/**
 * A run of a request that was under way when its runner crashed. Times are
 * milliseconds of one clock.
 */
export interface CrashedRun {
  startedAt: number;
  /** When the runner crashed. */
  endedAt: number;
}

/** Counts of the runner crashes during which one request was under way. */
export interface CrashCounts {
  /** Number of runners that crashed. */
  crashes: number;
  /**
   * Size of the largest set of these runs that do not overlap: each run started
   * only after the crash that interrupted the run before.
   */
  sequential: number;
}

/**
 * A request is quarantined, that is, sent to no runner, once both its counts
 * reach these.
 */
export const QUARANTINE_THRESHOLD: CrashCounts = {
  crashes: 3,
  /*
   * When many hosts fail at once, a request that many callers send is under way
   * on each of them, but these runs overlap. A request that crashes its runners
   * crashes the next runner when it is sent again, so its runs follow each
   * other.
   */
  sequential: 2,
};

/**
 * Counts the crashes during runs of one request. The caller leaves out runs
 * that a complete answer to the request has cleared.
 */
export function countCrashes(runs: Iterable<CrashedRun>): CrashCounts {
  const inOrder = [...runs].sort((left, right) => left.endedAt - right.endedAt);
  let sequential = 0;
  let lastCrashAt = -Infinity;
  for (const { startedAt, endedAt } of inOrder) {
    if (startedAt < lastCrashAt) continue;
    sequential++;
    lastCrashAt = endedAt;
  }
  return { crashes: inOrder.length, sequential };
}

/**
 * Whether both counts reach the threshold, so that the request is to be
 * quarantined.
 */
export function reachesThreshold(
  counts: CrashCounts,
  min = QUARANTINE_THRESHOLD,
): boolean {
  return counts.crashes >= min.crashes && counts.sequential >= min.sequential;
}
