import * as common from "@geraniumkeel/common";

/** An entry, and whether it has the answering entry's list in force. */
export interface EntryInForce {
  host: string;
  inForce: boolean;
}

/** An evacuated data centre, as operators see it. */
export interface EvacuationView {
  dataCentre: string;
  /**
   * Date and time (ISO 8601, UTC) since which the evacuation has been in force
   * at the answering entry.
   */
  since: string;
  /**
   * All known entries, and whether each has the answering entry's version of
   * the list, or a newer one, in force. False for an entry that is unreachable.
   */
  entries: EntryInForce[];
}

/** Describes the evacuations in force at an entry for operators. */
export function evacuationViews(
  inForce: ReadonlyMap<string, common.Instant>,
  entries: EntryInForce[],
): EvacuationView[] {
  return [...inForce].map(([dataCentre, since]) => ({
    dataCentre,
    since: new Date(Date.now() - common.ageOf(since)).toISOString(),
    entries,
  }));
}
