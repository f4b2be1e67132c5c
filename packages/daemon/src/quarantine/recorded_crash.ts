import * as partSighting from "./part_sighting.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

/** A suspicion as the ledger records it, by fingerprint or key. */
export type RecordedSuspicion = Omit<suspectLedger.Suspicion, "fingerprint">;

/** A crash as the ledger records it. */
export interface RecordedCrash extends Omit<
  suspectLedger.CrashReport,
  "seenBy" | "suspicions"
> {
  seenBy: Set<string>;
  suspicions: Map<string, RecordedSuspicion>;
  /** Requests whose answers had begun, without content, by short names. */
  begun: Set<string>;
}

/**
 * Joins what another report says of a suspicion, but for whether it is cleared;
 * returns whether it names further requests with a part.
 */
export function joinSuspicions(
  known: RecordedSuspicion,
  { startedAt, part }: RecordedSuspicion,
): boolean {
  if (!part || !known.part) {
    known.startedAt = Math.min(known.startedAt, startedAt);
    return false;
  }
  // Any of the requests with a part may be the one that crashed the runner.
  known.startedAt = Math.max(known.startedAt, startedAt);
  const { requests, begun } = known.part;
  known.part = partSighting.joinSightings(known.part, part);
  return (
    known.part.requests.length > requests.length ||
    known.part.begun.length > begun.length
  );
}
