import * as common from "@geraniumkeel/common";
import type * as entryMesh from "../mesh/entry_mesh.ts";
import type * as evacuationsModule from "./evacuations.ts";

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
  entries: { host: string; inForce: boolean }[];
}

/** Describes the evacuations for operators. `host` is the answering entry. */
export function evacuationViews(
  host: string,
  evacuations: evacuationsModule.Evacuations,
  mesh: entryMesh.EntryMesh,
): EvacuationView[] {
  const { version } = evacuations.list;
  const others = mesh.known().map(({ member, beat }) => ({
    host: member.host,
    inForce: beat !== undefined && beat.evacuations.version >= version,
  }));
  const entries = [{ host, inForce: true }, ...others];
  return [...evacuations.inForce()].map(([dataCentre, since]) => ({
    dataCentre,
    since: new Date(Date.now() - common.ageOf(since)).toISOString(),
    entries,
  }));
}
