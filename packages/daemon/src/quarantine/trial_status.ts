import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Time from the last crash until a quarantined request may first be tried. A
 * request that was under way at three crashes by chance runs again after this
 * time; one that crashes its runners crashes a fourth.
 */
const FIRST_QUARANTINE_MILLISECONDS = 30_000;
/**
 * The same time for a prompt part that many requests carry: if it is sound, all
 * of them are refused for it.
 */
const FIRST_QUARANTINE_OF_COMMON_MILLISECONDS = 5_000;
/**
 * Shortest time from the last crash until the next trial once a trial has
 * failed: two hours.
 */
const MIN_LATER_QUARANTINE_MILLISECONDS = 2 * 3_600_000;
/**
 * After a failed trial the time until the next one is at least this many times
 * the span from the first to the last crash. Each failed trial lengthens the
 * span, so trials become rarer.
 */
const LATER_QUARANTINE_SPANS = 3;

/**
 * Whether a quarantined request may be tried again. The request is in
 * quarantine in both cases.
 */
export type TrialStatus =
  /** It may not be tried, and so is sent to no runner, for this time. */
  | { kind: "held"; millisecondsLeft: number }
  /**
   * It may be tried, whether or not a trial is under way: one run at a time may
   * show whether it still crashes runners.
   */
  | { kind: "on-trial" };

/**
 * Returns whether a quarantined request may be tried again. It may after a time
 * that grows with each failed trial, or once no runner of its service has a
 * version that crashed.
 */
export function trialStatusOf(parameters: {
  /** Crashes during runs of the request, in order of time. */
  crashes: suspectLedger.CrashUnderRequest[];
  /** Time of the crash that put the request in quarantine. */
  provedAt: number;
  /** Whether it is a prompt part that many requests carry. */
  isCommon: boolean;
  /**
   * Versions of the runners that the service has now; empty if it has no
   * runners or if the entry does not know their versions. A runner that does
   * not report its version counts with an empty string.
   */
  versionsInUse: ReadonlySet<string>;
  /** Current time in milliseconds, by the clock of `crashes`. */
  now: number;
}): TrialStatus {
  const { crashes, versionsInUse, now } = parameters;
  if (areVersionsReplaced(crashes, versionsInUse)) return { kind: "on-trial" };
  const lastCrashAt = crashes.at(-1)?.endedAt ?? now;
  const millisecondsLeft =
    lastCrashAt + quarantineMillisecondsOf(parameters) - now;
  if (millisecondsLeft <= 0) return { kind: "on-trial" };
  return { kind: "held", millisecondsLeft };
}

/**
 * Time from the last crash to the next trial. A crash that comes later after the
 * one that put the request in quarantine than the first trial may start counts
 * as a failed trial.
 */
function quarantineMillisecondsOf({
  crashes,
  provedAt,
  isCommon,
}: {
  crashes: suspectLedger.CrashUnderRequest[];
  provedAt: number;
  isCommon: boolean;
}): number {
  const firstQuarantine = isCommon
    ? FIRST_QUARANTINE_OF_COMMON_MILLISECONDS
    : FIRST_QUARANTINE_MILLISECONDS;
  const [firstCrash] = crashes;
  const lastCrash = crashes.at(-1);
  if (!lastCrash) return firstQuarantine;
  const trialFailed = lastCrash.endedAt - provedAt >= firstQuarantine;
  if (!trialFailed) return firstQuarantine;
  const span = lastCrash.endedAt - firstCrash.endedAt;
  return Math.max(
    MIN_LATER_QUARANTINE_MILLISECONDS,
    LATER_QUARANTINE_SPANS * span,
  );
}

/**
 * Whether no runner of the service has a version that crashed. Without runners,
 * or with unknown versions, nothing shows that the version was replaced.
 */
function areVersionsReplaced(
  crashes: suspectLedger.CrashUnderRequest[],
  versionsInUse: ReadonlySet<string>,
): boolean {
  if (versionsInUse.size === 0) return false;
  return crashes.every(
    ({ version }) => version !== "" && !versionsInUse.has(version),
  );
}
