import * as common from "@geraniumkeel/common";
import * as partKey from "./part_key.ts";
import type * as trialStatus from "./trial_status.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

/** A quarantined request, as operators see it. */
export interface QuarantineCase {
  /** Fingerprint of the request, or key of the part of prompts. */
  fingerprint: string;
  /** Identifier of the part; not there for a whole request. */
  part?: string;
  service: string;
  /**
   * Date and time (ISO 8601, UTC) of the crash with which the number of crashes
   * sufficed. If the runs until then overlapped, only a later crash put the
   * request or part in quarantine.
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
  /** Time of the crash that put it in quarantine. */
  provedAt: number;
  status: trialStatus.TrialStatus;
}): QuarantineCase {
  const { fingerprint, service, crashes, provedAt, status } = parameters;
  return {
    fingerprint,
    part: partKey.partOf(fingerprint),
    service,
    since: isoTimeOf(provedAt),
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
