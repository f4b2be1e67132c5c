import type * as wire from "@geraniumkeel/wire";

/** Cells in which a map differs from its base. */
export function differenceOf(
  base: wire.RankMap,
  next: wire.RankMap,
): wire.RankMapCell[] {
  return next.flatMap((ranks, layer) =>
    ranks.flatMap((experts, rank): wire.RankMapCell[] =>
      isSame(base[layer]?.[rank], experts) ? [] : [[layer, rank, ...experts]],
    ),
  );
}

/** A map with some cells changed. */
export function withCells(
  base: wire.RankMap,
  cells: readonly wire.RankMapCell[],
): wire.RankMap {
  const next = base.map((ranks) => [...ranks]);
  for (const [layer, rank, ...experts] of cells) next[layer][rank] = experts;
  return next;
}

/** Numbers that a map takes. */
export function sizeOfMap(map: wire.RankMap): number {
  return map.reduce(
    (sum, ranks) =>
      sum + ranks.reduce((ofLayer, experts) => ofLayer + experts.length, 0),
    0,
  );
}

/** Numbers that cells take. */
export function sizeOfCells(cells: readonly wire.RankMapCell[]): number {
  return cells.reduce((sum, cell) => sum + cell.length, 0);
}

function isSame(left: number[] | undefined, right: number[]): boolean {
  if (left?.length !== right.length) return false;
  return left.every((expert, index) => expert === right[index]);
}
