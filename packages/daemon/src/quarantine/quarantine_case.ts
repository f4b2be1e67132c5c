import * as common from "@geraniumkeel/common";
import * as crashCounts from "./crash_counts.ts";
import type * as trialStatus from "./trial_status.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

/** A request in quarantine, as operators see it. */
export interface QuarantineCase {
  fingerprint: string;
  service: string;
  /** Time of day since which it is held. */
  since: string;
  /** Milliseconds until it is tried again; 0 if that may be now. */
  millisecondsLeft: number;
  ends: { runner: string; version: string; at: string; seenBy: string[] }[];
}

/** What operators are told of a held request. */
export function caseOf(parameters: {
  fingerprint: string;
  service: string;
  ends: suspectLedger.CrashUnderRequest[];
  found: trialStatus.TrialStatus;
}): QuarantineCase {
  const { fingerprint, service, ends, found } = parameters;
  const proving = ends[crashCounts.QUARANTINE_THRESHOLD.crashes - 1];
  return {
    fingerprint,
    service,
    since: timeOfDay(proving.endedAt),
    millisecondsLeft:
      found.kind === "held" ? Math.round(found.millisecondsLeft) : 0,
    ends: ends.map(({ runner, version, endedAt, seenBy }) => {
      return { runner, version, at: timeOfDay(endedAt), seenBy };
    }),
  };
}

/** Time of day of a moment of this process's monotonic clock. */
function timeOfDay(moment: number): string {
  return new Date(Date.now() - (common.now() - moment)).toISOString();
}
