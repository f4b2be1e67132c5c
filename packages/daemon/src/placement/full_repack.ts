import type * as planPlacement from "./plan_placement.ts";

/**
 * Baseline: makes each layer's map anew, without regard to what is moved. Slots
 * go to the experts with the heaviest replicas, and replicas to the lightest
 * ranks, heaviest first (longest processing time).
 */
export function fullRepack(
  input: Pick<planPlacement.PlacementInput, "ranks" | "slots" | "load">,
): number[][][] {
  return input.load.map((load) =>
    packLayer(load, replicaCounts(load, input), input),
  );
}

/** Replicas per expert: the next slot goes to the heaviest replica. */
export function replicaCounts(
  load: ArrayLike<number>,
  input: { ranks: number; slots: number },
): number[] {
  const counts = Array.from(load, () => 1);
  const total = input.ranks * input.slots;
  for (let used = counts.length; used < total; used++) {
    let heaviest = -1;
    for (let expert = 0; expert < counts.length; expert++) {
      if (counts[expert] >= input.ranks) continue;
      const share = load[expert] / counts[expert];
      const heaviestShare =
        heaviest < 0 ? -1 : load[heaviest] / counts[heaviest];
      if (share > heaviestShare) heaviest = expert;
    }
    if (heaviest < 0) break;
    counts[heaviest]++;
  }
  return counts;
}

/** Puts replicas on ranks, heaviest first, each on the lightest with room. */
export function packLayer(
  load: ArrayLike<number>,
  counts: number[],
  input: { ranks: number; slots: number },
): number[][] {
  const replicas = counts.flatMap((count, expert) =>
    Array.from({ length: count }, () => expert),
  );
  const share = (expert: number) => load[expert] / counts[expert];
  replicas.sort((left, right) => share(right) - share(left));
  const rankLoad = new Float64Array(input.ranks);
  const used = new Uint16Array(input.ranks);
  const places: number[][] = Array.from(counts, () => []);
  for (const expert of replicas) {
    let lightest = -1;
    for (let rank = 0; rank < input.ranks; rank++) {
      if (used[rank] >= input.slots || places[expert].includes(rank)) continue;
      if (lightest < 0 || rankLoad[rank] < rankLoad[lightest]) lightest = rank;
    }
    // No rank with room lacks this expert: one replica less is still right.
    if (lightest < 0) continue;
    rankLoad[lightest] += share(expert);
    used[lightest]++;
    places[expert].push(lightest);
  }
  return places;
}

/** Copies that a change from one map to another must load. */
export function copiesBetween(
  before: number[][][],
  after: number[][][],
): number {
  let copies = 0;
  after.forEach((layer, index) => {
    layer.forEach((ranks, expert) => {
      const ranksBefore = before[index][expert];
      copies += ranks.filter((rank) => !ranksBefore.includes(rank)).length;
    });
  });
  return copies;
}
