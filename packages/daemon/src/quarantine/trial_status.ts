import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Time for which a request is held at first, in milliseconds. One that was at three ends
 * by chance is free again after it; one that ends its runners takes a fourth along.
 */
const FIRST_QUARANTINE_MILLISECONDS = 30_000;
/** Shortest time for which it is held once a trial has failed: two hours. */
const MIN_LATER_QUARANTINE_MILLISECONDS = 2 * 3_600_000;
/**
 * How many times the span from its first to its last end it is held then. A runner that
 * ends on trial makes the span longer, so trials become rare by themselves.
 */
const LATER_QUARANTINE_SPANS = 3;

/** Whether a held request may be tried again. */
export type TrialStatus =
  | { kind: "held"; millisecondsLeft: number }
  /** One run at a time may show whether it is mended. */
  | { kind: "on-trial" };

/**
 * The standing of a held request: it is tried again after a time that grows with each
 * trial that fails, or once no runner of its service has a version under which runners
 * ended.
 */
export function trialStatusOf(parameters: {
  crashes: suspectLedger.CrashUnderRequest[];
  /** Versions of the runners that the service has now; empty if it has none. */
  versionsInUse: ReadonlySet<string>;
  now: number;
}): TrialStatus {
  const { crashes, versionsInUse, now } = parameters;
  if (areVersionsReplaced(crashes, versionsInUse)) return { kind: "on-trial" };
  const lastCrashAt = crashes.at(-1)?.endedAt ?? now;
  const millisecondsLeft =
    lastCrashAt + quarantineMillisecondsOf(crashes) - now;
  if (millisecondsLeft <= 0) return { kind: "on-trial" };
  return { kind: "held", millisecondsLeft };
}

function quarantineMillisecondsOf(
  crashes: suspectLedger.CrashUnderRequest[],
): number {
  const [firstCrash, , thresholdCrash] = crashes;
  const lastCrash = crashes.at(-1);
  if (!lastCrash || !thresholdCrash) return FIRST_QUARANTINE_MILLISECONDS;
  const trialFailed =
    lastCrash.endedAt - thresholdCrash.endedAt >= FIRST_QUARANTINE_MILLISECONDS;
  if (!trialFailed) return FIRST_QUARANTINE_MILLISECONDS;
  const span = lastCrash.endedAt - firstCrash.endedAt;
  return Math.max(
    MIN_LATER_QUARANTINE_MILLISECONDS,
    LATER_QUARANTINE_SPANS * span,
  );
}

function areVersionsReplaced(
  crashes: suspectLedger.CrashUnderRequest[],
  versionsInUse: ReadonlySet<string>,
): boolean {
  if (versionsInUse.size === 0) return false;
  return crashes.every(
    ({ version }) => version !== "" && !versionsInUse.has(version),
  );
}
