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
  crashes: suspectLedger.CrashUnderRequest[];
  status: trialStatus.TrialStatus;
}): QuarantineCase {
  const { fingerprint, service, crashes, status } = parameters;
  const thresholdCrash = crashes[crashCounts.QUARANTINE_THRESHOLD.crashes - 1];
  return {
    fingerprint,
    service,
    since: timeOfDay(thresholdCrash.endedAt),
    millisecondsLeft:
      status.kind === "held" ? Math.round(status.millisecondsLeft) : 0,
    ends: crashes.map(({ runner, version, endedAt, seenBy }) => {
      return { runner, version, at: timeOfDay(endedAt), seenBy };
    }),
  };
}

/** Time of day of a moment of this process's monotonic clock. */
function timeOfDay(moment: number): string {
  return new Date(Date.now() - (common.now() - moment)).toISOString();
}
