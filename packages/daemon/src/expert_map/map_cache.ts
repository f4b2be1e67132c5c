import * as wire from "@geraniumkeel/wire";

/**
 * Enough for the map in force, the staged one and the one before. Any
 * changes are based on one of these.
 */
const MAX_CACHED_MAPS = 3;

/**
 * The newest maps that a rank's upstream process has received, in memory, so
 * that the coordinator can send the next map as changes to one of them. A
 * restarted upstream process has none, and the coordinator sends it the
 * complete map.
 */
export class MapCache {
  readonly #maps = new Map<number, wire.ExpertMap>();

  /** Adds a map and, above the limit, drops the one that was added first. */
  put(map: wire.ExpertMap): void {
    this.#maps.delete(map.version);
    this.#maps.set(map.version, map);
    for (const version of this.#maps.keys()) {
      if (this.#maps.size <= MAX_CACHED_MAPS) return;
      this.#maps.delete(version);
    }
  }

  /**
   * The map that results from changes. Returns `undefined` if the map that the
   * changes are based on is not cached, or differs from the coordinator's map
   * of that version.
   */
  applyChanges(changes: wire.MapChanges): wire.ExpertMap | undefined {
    const base = this.#maps.get(changes.base);
    return base && wire.applyChanges(base, changes);
  }
}
