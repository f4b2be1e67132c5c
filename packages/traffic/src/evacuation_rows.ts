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

  constructor(
    /** What the keys of evacuations begin with; the data centre's name follows. */
    readonly prefix = "",
  ) {}

  /**
   * Takes the rows of a table, by key, and the keys of those that changed since
   * the last look; `undefined` if any may have changed.
   */
  takeKeys(look: {
    epoch: number;
    version: number;
    rows: ReadonlyMap<string, unknown>;
    changedKeys: string[] | undefined;
  }): void {
    const { epoch, version, rows, changedKeys } = look;
    const isEvacuation = (key: string) => key.startsWith(this.prefix);
    this.take({
      epoch,
      version,
      dataCentres: [...rows.keys()]
        .filter(isEvacuation)
        .map((key) => key.slice(this.prefix.length)),
      changed: changedKeys?.some(isEvacuation) ?? true,
    });
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
    // A table that tells no epochs may return to lower versions after a restore.
    // Peers would ignore a list with a version below the last one.
    const next =
      numbered > last ? numbered : last + evacuationList.LISTS_PER_VERSION;
    this.#list = { version: next, dataCentres: [...dataCentres].sort() };
  }
}
