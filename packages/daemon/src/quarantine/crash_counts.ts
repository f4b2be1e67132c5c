/** A run that was under way when its runner ended, in milliseconds of one clock. */
export interface CrashedRun {
  startedAt: number;
  endedAt: number;
}

/** What the ends of runners say of a request that was under way at each. */
export interface CrashCounts {
  /** Runners that ended. */
  crashes: number;
  /** The most of them whose runs followed each other: none began before the last ended. */
  sequential: number;
}

/** Evidence after which a request is sent to no runner more. */
export const QUARANTINE_THRESHOLD: CrashCounts = {
  crashes: 3,
  /*
   * When many hosts are lost at once, a request that many callers send is under way at
   * each of them, but those runs overlap. One that ends its runners is there when the
   * next one ends after it was sent again.
   */
  sequential: 2,
};

/** Weighs runs of one request, none of which has been followed by a whole answer. */
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

/** Whether the evidence proves that the request ends the runners that run it. */
export function reachesThreshold(
  counts: CrashCounts,
  min = QUARANTINE_THRESHOLD,
): boolean {
  return counts.crashes >= min.crashes && counts.sequential >= min.sequential;
}
