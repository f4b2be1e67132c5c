import * as common from "@geraniumkeel/common";
import * as crashCounts from "./crash_counts.ts";
import type * as trialStatus from "./trial_status.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

/** A quarantined request, as operators see it. */
export interface QuarantineCase {
  fingerprint: string;
  service: string;
  /**
   * Date and time (ISO 8601, UTC) of the crash with which the number of crashes
   * reached `QUARANTINE_THRESHOLD.crashes`. If the runs until then overlapped,
   * only a later crash put the request in quarantine.
   */
  since: string;
  /** Milliseconds until it may be tried again; 0 if it may be now. */
  millisecondsLeft: number;
  /**
   * Crashes of runners that ran the request. `at` is the date and time of the
   * crash (ISO 8601, UTC), and `seenBy` lists the hosts of the entries that saw
   * the crash.
   */
  ends: { runner: string; version: string; at: string; seenBy: string[] }[];
}

/** Describes a quarantined request for operators. */
export function caseOf(parameters: {
  fingerprint: string;
  service: string;
  crashes: suspectLedger.CrashUnderRequest[];
  status: trialStatus.TrialStatus;
}): QuarantineCase {
  const { fingerprint, service, crashes, status } = parameters;
  // A quarantined request has at least this number of crashes.
  const thresholdCrash = crashes[crashCounts.QUARANTINE_THRESHOLD.crashes - 1];
  return {
    fingerprint,
    service,
    since: isoTimeOf(thresholdCrash.endedAt),
    millisecondsLeft:
      status.kind === "held" ? Math.round(status.millisecondsLeft) : 0,
    ends: crashes.map(({ runner, version, endedAt, seenBy }) => {
      return { runner, version, at: isoTimeOf(endedAt), seenBy };
    }),
  };
}

/** Converts a time of this process's monotonic clock to an ISO 8601 time. */
function isoTimeOf(moment: number): string {
  return new Date(Date.now() - (common.now() - moment)).toISOString();
}
