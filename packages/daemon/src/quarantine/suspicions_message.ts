import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as suspectLedger from "./suspect_ledger.ts";

/**
 * Builds the message in which an entry reports crashes to other entries.
 * `quarantined` are fingerprints of requests that the entry has in quarantine:
 * all of them in the first message on a new link, later only those that it has
 * just quarantined. So a fingerprint that is missing from `held` does not show
 * that its request was released.
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
 * Converts a report to the form in which entries send it, `wire.ReportedCrash`.
 * The clocks of two processes cannot be compared, so times are sent as ages in
 * milliseconds.
 */
function toWire(
  report: suspectLedger.CrashReport,
  now: number,
): wire.ReportedCrash {
  const { endedAt, suspicions, ...unchanged } = report;
  return {
    ...unchanged,
    age: Math.round(now - endedAt),
    suspicions: suspicions.map(({ startedAt, ...unchanged }) => ({
      ...unchanged,
      startedAge: Math.round(now - startedAt),
    })),
  };
}

/**
 * Converts a received report to the form that this process records: ages become
 * times of this process's clock. `now` is the time of receipt.
 */
export function fromWire(
  reported: wire.ReportedCrash,
  now: number,
): suspectLedger.CrashReport {
  const { age, suspicions, ...unchanged } = reported;
  return {
    ...unchanged,
    endedAt: now - age,
    suspicions: suspicions.map(({ startedAge, ...unchanged }) => ({
      ...unchanged,
      startedAt: now - startedAge,
    })),
  };
}
