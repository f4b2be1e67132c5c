import * as crypto from "node:crypto";
import type * as expertMap from "./expert_map.ts";

/** Places of one expert in a new map. */
export type MapChange = [layer: number, expert: number, ranks: number[]];

/** A map told by what differs from one that the receiver has. */
export interface MapChanges {
  version: number;
  /** Version of the map that the changes are based on. */
  base: number;
  changes: MapChange[];
  /** Digest of the whole new map's places. */
  digest: string;
}

/** What differs between two maps of the same layers and experts. */
export function changesBetween(
  base: expertMap.ExpertMap,
  next: expertMap.ExpertMap,
): MapChanges {
  const changes = next.places.flatMap((layer, layerIndex) =>
    layer.flatMap((ranks, expert): MapChange[] => {
      const before = base.places[layerIndex]?.[expert] ?? [];
      const same =
        ranks.length === before.length &&
        ranks.every((rank, index) => rank === before[index]);
      return same ? [] : [[layerIndex, expert, ranks]];
    }),
  );
  const { version, places } = next;
  return { version, base: base.version, changes, digest: digestOf(places) };
}

/**
 * The new map, or `undefined` if it is not the one meant. A base that differs
 * from the sender's would give this rank a map of its own, and a step with two
 * maps; the digest of the whole map rules that out.
 */
export function applyChanges(
  base: expertMap.ExpertMap,
  changes: MapChanges,
): expertMap.ExpertMap | undefined {
  if (base.version !== changes.base) return undefined;
  const places = base.places.map((layer) => [...layer]);
  for (const [layer, expert, ranks] of changes.changes) {
    if (!places[layer]) return undefined;
    places[layer][expert] = ranks;
  }
  if (digestOf(places) !== changes.digest) return undefined;
  return { version: changes.version, places };
}

function digestOf(places: expertMap.ExpertPlaces): string {
  const text = JSON.stringify(places);
  return crypto.createHash("sha256").update(text).digest("base64");
}
