import * as mapDifference from "@geraniumkeel/daemon/rank_group/map_difference";
import * as wire from "@geraniumkeel/wire";

/** Headers of a frame on the wire. */
const HEADER_BYTES = 46;

/** Bytes that a leader sends to have all other ranks prepare a map. */
export function orderBytes(
  base: number[][][],
  next: number[][][],
  ranks: number,
): number {
  const exchanges = mapDifference.differenceOf(
    mapDifference.expertsOfRanks(base, ranks),
    mapDifference.expertsOfRanks(next, ranks),
  );
  const frame = wire.encode({
    kind: wire.MessageKind.RankCommand,
    question: 1,
    token: 1,
    epoch: 1,
    order: {
      kind: wire.RankOrderKind.PrepareChanges,
      version: 1,
      base: 1,
      exchanges: wire.packDocument(exchanges),
    },
  });
  return (frame.byteLength + HEADER_BYTES) * (ranks - 1);
}
