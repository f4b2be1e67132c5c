import * as fullRepack from "@geraniumkeel/daemon/placement/full_repack";

/** Share by which an expert's load may exceed a slot before it bids for more. */
const PREFERENCE = 0.05;

/**
 * The related paper's idea for experts: each asks for a range of replicas, from
 * one to as many as its load fills slots, and bids for every count in its range;
 * bids are taken by value for each slot, with a small preference for larger
 * counts. (AUCSCHED2, "GPU ranges", with greedy selection in place of its
 * integer program.)
 */
export function placeByBids(input: {
  ranks: number;
  slots: number;
  load: ArrayLike<number>[];
}): number[][][] {
  return input.load.map((load) => {
    const counts = chooseByBids(load, input);
    return fullRepack.packLayer(load, counts, input);
  });
}

/** Replicas of each expert that the best bids give. */
export function chooseByBids(
  load: ArrayLike<number>,
  input: { ranks: number; slots: number },
): number[] {
  const slots = input.ranks * input.slots;
  const total = Array.from(load).reduce((sum, one) => sum + one, 0);
  const perSlot = total / slots;
  const bids: { expert: number; count: number; value: number }[] = [];
  for (let expert = 0; expert < load.length; expert++) {
    const most = Math.min(
      input.ranks,
      Math.max(1, Math.ceil(load[expert] / perSlot)),
    );
    for (let count = 2; count <= most; count++) {
      // Load of the replica that one more would relieve, and the preference.
      const relieved = load[expert] / (count - 1) - load[expert] / count;
      const preference = PREFERENCE * (count / most) * perSlot;
      bids.push({ expert, count, value: relieved + preference });
    }
  }
  bids.sort((left, right) => right.value - left.value);
  const counts = Array.from(load, () => 1);
  let used = counts.length;
  for (const { expert, count } of bids) {
    if (used >= slots) break;
    if (counts[expert] !== count - 1) continue;
    counts[expert] = count;
    used++;
  }
  return counts;
}
