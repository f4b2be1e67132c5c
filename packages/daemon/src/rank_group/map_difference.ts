import type * as wire from "@geraniumkeel/wire";

/** The experts that each rank removes and adds from one map to the next. */
export function differenceOf(
  base: wire.RankMap,
  next: wire.RankMap,
): wire.RankMapExchange[] {
  return next.flatMap((ranks, layer) =>
    ranks.flatMap((experts, rank): wire.RankMapExchange[] => {
      const before = base[layer]?.[rank] ?? [];
      const removed = before.filter((expert) => !experts.includes(expert));
      const added = experts.filter((expert) => !before.includes(expert));
      const isUnchanged = removed.length + added.length === 0;
      return isUnchanged ? [] : [[layer, rank, removed, added]];
    }),
  );
}

/**
 * Applies exchanges to a map. The experts of every rank are in rising order, as
 * in a map that is sent in full: engines may compare the lists, and all ranks
 * must get the same map in whichever form it was sent.
 */
export function withExchanges(
  base: wire.RankMap,
  exchanges: readonly wire.RankMapExchange[],
): wire.RankMap {
  const next = base.map((ranks) => ranks.map((experts) => [...experts]));
  for (const [layer, rank, removed, added] of exchanges) {
    const retained = next[layer][rank].filter(
      (expert) => !removed.includes(expert),
    );
    next[layer][rank] = [...retained, ...added];
  }
  for (const experts of next.flat()) experts.sort((a, b) => a - b);
  return next;
}

/** How many numbers a map consists of. */
export function sizeOfMap(map: wire.RankMap): number {
  return map.reduce(
    (sum, ranks) =>
      sum + ranks.reduce((layerSum, experts) => layerSum + experts.length, 0),
    0,
  );
}

/** How many numbers exchanges consist of. */
export function sizeOfExchanges(
  exchanges: readonly wire.RankMapExchange[],
): number {
  return exchanges.reduce(
    (sum, [, , removed, added]) => sum + 2 + removed.length + added.length,
    0,
  );
}

/** Converts the experts of each rank to the ranks of each expert, by layer. */
export function ranksOfExperts(
  map: wire.RankMap,
  experts: number,
): number[][][] {
  return map.map((layer) => {
    const places = Array.from({ length: experts }, (): number[] => []);
    layer.forEach((ofRank, rank) => {
      for (const expert of ofRank) places[expert].push(rank);
    });
    return places;
  });
}

/** Converts the ranks of each expert to the experts of each rank, by layer. */
export function expertsOfRanks(
  places: number[][][],
  ranks: number,
): wire.RankMap {
  return places.map((layer) => {
    const map = Array.from({ length: ranks }, (): number[] => []);
    layer.forEach((ofExpert, expert) => {
      for (const rank of ofExpert) map[rank].push(expert);
    });
    return map;
  });
}
