/** Room for the store's versions of one epoch: hundreds a second, for years. */
const VERSIONS_PER_EPOCH = 2 ** 36;
/** Lists for each of the store's versions: as read, and with `retained`. */
export const LISTS_PER_VERSION = 2;

/** The data centres that operators evacuate, as of one version of the list. */
export interface EvacuationList {
  version: number;
  /** Data centres whose rows are in the table. */
  dataCentres: string[];
  /**
   * Data centres that stay evacuated for a while although the table, which was
   * restored from a copy, lacks their rows. Set only by entries that knew these
   * evacuations before, for entries that start in this time.
   */
  retained?: string[];
}

/**
 * Version of the list that was read at a version of the store in one of its
 * epochs. All processes order these versions alike. It is never 0, which stands
 * for no list.
 */
export function evacuationListVersion(
  epoch: number,
  storeVersion: number,
): number {
  const ordinal = epoch * VERSIONS_PER_EPOCH + storeVersion + 1;
  return ordinal * LISTS_PER_VERSION;
}

/** Epoch of the table in which a list was read. */
export function epochOfEvacuationList({ version }: EvacuationList): number {
  return Math.floor(version / (VERSIONS_PER_EPOCH * LISTS_PER_VERSION));
}

/** A list as it was read, with data centres that stay evacuated for a while. */
export function withRetained(
  list: EvacuationList,
  retained: string[],
): EvacuationList {
  // The odd version after that of the list as read, see `LISTS_PER_VERSION`.
  return { ...list, version: list.version + 1, retained };
}
