import type * as wire from "@geraniumkeel/wire";
import type * as suspectLedger from "./suspect_ledger.ts";

/** A report as it is told: no two clocks are compared, so times travel as ages. */
export function toTold(
  report: suspectLedger.ReportedEnd,
  now: number,
): wire.ToldEnd {
  const { endedAt, suspicions, ...same } = report;
  return {
    ...same,
    age: Math.round(now - endedAt),
    suspicions: suspicions.map(({ fingerprint, startedAt, cleared }) => ({
      fingerprint,
      startedAge: Math.round(now - startedAt),
      cleared,
    })),
  };
}

/** A report as it was told, by this process's clock. */
export function fromTold(
  told: wire.ToldEnd,
  now: number,
): suspectLedger.ReportedEnd {
  const { age, suspicions, ...same } = told;
  return {
    ...same,
    endedAt: now - age,
    suspicions: suspicions.map(({ fingerprint, startedAge, cleared }) => ({
      fingerprint,
      startedAt: now - startedAge,
      cleared,
    })),
  };
}
