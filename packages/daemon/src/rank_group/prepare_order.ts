import * as wire from "@geraniumkeel/wire";
import * as mapDifference from "./map_difference.ts";

/** A map that ranks are to load, and the one that they have in force. */
export interface PrepareOrderParameters {
  version: number;
  map: wire.RankMap;
  /** The map in force, where it is known. */
  base?: { version: number; map: wire.RankMap };
  /** Time that a rank takes to load each expert; 0 if unknown. */
  copyMilliseconds?: number;
}

/**
 * Creates the order to load a map, with the forms in which it travels packed once
 * for all ranks: whole, and as changes to the map in force where that is shorter.
 */
export function prepareOrder(
  parameters: PrepareOrderParameters,
): wire.PrepareOrder {
  const { version, map, copyMilliseconds } = parameters;
  const kind = wire.RankOrderKind.Prepare;
  const order = { kind, version, map, copyMilliseconds } as const;
  const changes = changesOf(parameters);
  return { ...order, packed: packedOrder(order), changes };
}

/** The order with its map packed, as it is sent where no changes can be. */
export function packedOrder(order: wire.PrepareOrder): wire.PreparePacked {
  const { version, map, copyMilliseconds, packed } = order;
  if (packed) return packed;
  const kind = wire.RankOrderKind.PreparePacked;
  return { kind, version, map: wire.packDocument(map), copyMilliseconds };
}

/** Bytes of the map in the shortest form of an order. */
export function bytesOf(order: wire.PrepareOrder): number {
  const { changes } = order;
  return changes?.exchanges.byteLength ?? packedOrder(order).map.byteLength;
}

function changesOf({
  version,
  map,
  base,
  copyMilliseconds,
}: PrepareOrderParameters): wire.PrepareChanges | undefined {
  // Version 0 is the map with which a group starts; no leader sent it to the
  // ranks, so they cannot apply changes to it.
  if (!base || base.version <= 0) return undefined;
  const exchanges = mapDifference.differenceOf(base.map, map);
  const isShorter =
    mapDifference.sizeOfExchanges(exchanges) < mapDifference.sizeOfMap(map);
  if (!isShorter) return undefined;
  return {
    kind: wire.RankOrderKind.PrepareChanges,
    version,
    base: base.version,
    exchanges: wire.packDocument(exchanges),
    copyMilliseconds,
  };
}
