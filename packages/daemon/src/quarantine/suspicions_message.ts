import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Builds the message in which an entry reports crashes, and the fingerprints of
 * requests that it has quarantined, to other entries.
 */
export function toMessage(
  reports: suspectLedger.CrashReport[],
  quarantined: string[],
): wire.Suspicions {
  const now = common.now();
  return {
    kind: wire.MessageKind.Suspicions,
    ends: reports.map((report) => toWire(report, now)),
    held: quarantined,
  };
}

/**
 * Converts a report for the wire. The clocks of two processes cannot be
 * compared, so times are sent as ages in milliseconds.
 */
function toWire(
  report: suspectLedger.CrashReport,
  now: number,
): wire.ReportedCrash {
  const { endedAt, suspicions, ...unchanged } = report;
  return {
    ...unchanged,
    age: Math.round(now - endedAt),
    suspicions: suspicions.map(({ fingerprint, startedAt, cleared }) => ({
      fingerprint,
      startedAge: Math.round(now - startedAt),
      cleared,
    })),
  };
}

/**
 * Converts a received report: ages become times by this process's clock. `now`
 * is the time of receipt.
 */
export function fromWire(
  reported: wire.ReportedCrash,
  now: number,
): suspectLedger.CrashReport {
  const { age, suspicions, ...unchanged } = reported;
  return {
    ...unchanged,
    endedAt: now - age,
    suspicions: suspicions.map(({ fingerprint, startedAge, cleared }) => ({
      fingerprint,
      startedAt: now - startedAge,
      cleared,
    })),
  };
}
