import * as evacuationList from "./evacuation_list.ts";

/** What one look at the table found of the operators' evacuations. */
export interface EvacuationLook {
  /** Epoch and version of the table as of which the rows are known. */
  epoch: number;
  version: number;
  /** Data centres that have a row. */
  dataCentres: string[];
  /** Whether a row was written or removed, or may have been unseen. */
  changed: boolean;
}

/** Numbers the lists of evacuated data centres that are read from a table. */
export class EvacuationRows {
  #list: evacuationList.EvacuationList | undefined;

  /** The list after the last look; `undefined` before the first. */
  get list(): evacuationList.EvacuationList | undefined {
    return this.#list;
  }

  /**
   * Takes a look. Each change of a row makes a new version, also if the list is
   * the same after it. An entry that reads the table between the end of an
   * evacuation and its renewal spreads a list without it; an equal list under
   * the old version would not replace that one.
   */
  take({ epoch, version, dataCentres, changed }: EvacuationLook): void {
    if (this.#list && !changed) return;
    const numbered = evacuationList.evacuationListVersion(epoch, version);
    const last = this.#list?.version ?? 0;
    if (numbered === last) return;
    // A table that tells no epochs may be restored with lower versions.
    const next = numbered > last ? numbered : last + 2;
    this.#list = { version: next, dataCentres: [...dataCentres].sort() };
  }
}
