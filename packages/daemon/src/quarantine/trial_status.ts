import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Time for which a request is held at first, in milliseconds. One that was at three ends
 * by chance is free again after it; one that ends its runners takes a fourth along.
 */
const FIRST_HOLD_MILLISECONDS = 30_000;
/** Shortest time for which it is held once a trial has failed: two hours. */
const LATER_HOLD_MILLISECONDS = 2 * 3_600_000;
/**
 * How many times the span from its first to its last end it is held then. A runner that
 * ends on trial makes the span longer, so trials become rare by themselves.
 */
const HOLD_SPANS = 3;

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
  ends: suspectLedger.CrashUnderRequest[];
  /** Versions of the runners that the service has now; empty if it has none. */
  versionsInUse: ReadonlySet<string>;
  now: number;
}): TrialStatus {
  const { ends, versionsInUse, now } = parameters;
  if (isOutOfUse(ends, versionsInUse)) return { kind: "on-trial" };
  const last = ends.at(-1)?.endedAt ?? now;
  const millisecondsLeft = last + holdOf(ends) - now;
  if (millisecondsLeft <= 0) return { kind: "on-trial" };
  return { kind: "held", millisecondsLeft };
}

function holdOf(ends: suspectLedger.CrashUnderRequest[]): number {
  const [first, , proving] = ends;
  const last = ends.at(-1);
  if (!last || !proving) return FIRST_HOLD_MILLISECONDS;
  const trialFailed = last.endedAt - proving.endedAt >= FIRST_HOLD_MILLISECONDS;
  if (!trialFailed) return FIRST_HOLD_MILLISECONDS;
  const span = last.endedAt - first.endedAt;
  return Math.max(LATER_HOLD_MILLISECONDS, HOLD_SPANS * span);
}

function isOutOfUse(
  ends: suspectLedger.CrashUnderRequest[],
  versionsInUse: ReadonlySet<string>,
): boolean {
  if (versionsInUse.size === 0) return false;
  return ends.every(
    ({ version }) => version !== "" && !versionsInUse.has(version),
  );
}
