import type * as planPlacement from "./plan_placement.ts";

/**
 * Baseline for comparison with `planPlacement`: places the experts of each
 * layer from scratch, however many copies that takes. Free slots go to the
 * experts with the most heavily loaded replicas. Replicas then go to the least
 * loaded ranks, the heaviest first (longest processing time first). Returns the
 * ranks of each expert by layer.
 */
export function fullRepack(
  input: Pick<planPlacement.PlacementInput, "ranks" | "slots" | "load">,
): number[][][] {
  return input.load.map((load) =>
    packLayer(load, replicaCounts(load, input), input),
  );
}

/**
 * Number of replicas of each expert of a layer. Every expert gets one, and each
 * remaining slot goes to the expert whose replicas have the highest load.
 */
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

/**
 * Places the replicas of a layer, those with the highest load first, each on
 * the least loaded rank that has a free slot. Returns the ranks of each expert.
 */
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
    // Every rank with a free slot has this expert already. The map stays valid
    // without the replica.
    if (lightest < 0) continue;
    rankLoad[lightest] += share(expert);
    used[lightest]++;
    places[expert].push(lightest);
  }
  return places;
}

/**
 * Number of copies that a change from one placement to another needs: replicas
 * at ranks that did not have the expert before.
 */
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
