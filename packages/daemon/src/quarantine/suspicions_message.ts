import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as suspectLedger from "./suspect_ledger.ts";

/** What entries tell each other of ends, and of the requests that they hold. */
export function toMessage(
  reports: suspectLedger.CrashReport[],
  quarantined: string[],
): wire.Suspicions {
  const now = common.now();
  return {
    kind: wire.MessageKind.Suspicions,
    ends: reports.map((report) => toReportedCrash(report, now)),
    held: quarantined,
  };
}

/** A report as it is told: no two clocks are compared, so times travel as ages. */
function toReportedCrash(
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

/** A report as it was told, by this process's clock. */
export function toReport(
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
