import type * as suspectLedger from "./suspect_ledger.ts";

/** Shortest time for which a request is held, in milliseconds: two hours. */
const SHORTEST_HOLD_MILLISECONDS = 2 * 3_600_000;
/**
 * How many times the span from its first to its last end a request is held. A runner
 * that ends on trial makes the span longer, so trials become rare by themselves.
 */
const HOLD_SPANS = 3;

/** Whether a held request may be tried again. */
export type HeldStanding =
  | { kind: "held"; millisecondsLeft: number }
  /** One run at a time may show whether it is mended. */
  | { kind: "on-trial" };

/**
 * The standing of a held request: it is tried again after a time that grows with each
 * end, or once no runner of its service has a version under which runners ended.
 */
export function standingOf(parameters: {
  ends: suspectLedger.EndOfRequest[];
  /** Versions of the runners that the service has now; empty if it has none. */
  versionsInUse: ReadonlySet<string>;
  now: number;
}): HeldStanding {
  const { ends, versionsInUse, now } = parameters;
  if (isOutOfUse(ends, versionsInUse)) return { kind: "on-trial" };
  const first = ends[0]?.endedAt ?? now;
  const last = ends.at(-1)?.endedAt ?? now;
  const span = HOLD_SPANS * (last - first);
  const millisecondsLeft =
    last + Math.max(SHORTEST_HOLD_MILLISECONDS, span) - now;
  if (millisecondsLeft <= 0) return { kind: "on-trial" };
  return { kind: "held", millisecondsLeft };
}

function isOutOfUse(
  ends: suspectLedger.EndOfRequest[],
  versionsInUse: ReadonlySet<string>,
): boolean {
  if (versionsInUse.size === 0) return false;
  return ends.every(
    ({ version }) => version !== "" && !versionsInUse.has(version),
  );
}
