import * as wire from "@geraniumkeel/wire";

/** The map in force, the one staged and one before: enough for any base. */
const MAX_CACHED_MAPS = 3;

/**
 * Maps that a rank's agent was given, so that the next one can be told by its
 * changes. Lost with the agent; then the whole map is sent once more.
 */
export class MapCache {
  readonly #maps = new Map<number, wire.ExpertMap>();

  /** Remembers a map in place of the oldest. */
  put(map: wire.ExpertMap): void {
    this.#maps.delete(map.version);
    this.#maps.set(map.version, map);
    for (const version of this.#maps.keys()) {
      if (this.#maps.size <= MAX_CACHED_MAPS) return;
      this.#maps.delete(version);
    }
  }

  /** The map that changes lead to, or `undefined` without their very base. */
  applyChanges(changes: wire.MapChanges): wire.ExpertMap | undefined {
    const base = this.#maps.get(changes.base);
    return base && wire.applyChanges(base, changes);
  }
}
