import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as planQuick from "./plan_quick.ts";

const test = ava.default;

const RANKS = 8;
const EXPERTS = 64;
const LAYERS = 6;

/**
 * Load by layer and expert after one shift of demand: in each layer a few
 * experts get most of the activations.
 */
function shiftedLoad(seed: number): number[][] {
  const random = new common.Random(seed);
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, () => random.pareto(1, 1.1)),
  );
}

/** Placement of a newly formed group: one replica each, to ranks in turn. */
function initialPlaces(): number[][][] {
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, (_, expert) => [expert % RANKS]),
  );
}

function inputOf(seed: number): planQuick.QuickPlanInput {
  return {
    ranks: RANKS,
    slots: 11,
    load: shiftedLoad(seed),
    places: initialPlaces(),
    minGainSharePerCopy: 0.01,
    maxCopiesPerRank: 6,
    maxCopiesPerRankAndLayer: 4,
  };
}

/** Number of experts of a layer that each rank must load for a plan. */
function copiesByRank(
  before: number[][][],
  after: number[][][],
  layer: number,
): number[] {
  const counts = new Array<number>(RANKS).fill(0);
  after[layer].forEach((ranks, expert) => {
    for (const rank of ranks) {
      if (!before[layer][expert].includes(rank)) counts[rank]++;
    }
  });
  return counts;
}

for (const seed of [1, 2, 3, 4]) {
  test(`after a shift of demand, a plan lowers peak over mean rank load by a fifth within slot and copy limits, seed ${seed}`, (t) => {
    const input = inputOf(seed);
    const plan = planQuick.planQuick(input);
    t.true(plan.skewAfter < plan.skewBefore * 0.8);
    const total = new Array<number>(RANKS).fill(0);
    for (let layer = 0; layer < LAYERS; layer++) {
      const added = copiesByRank(input.places, plan.places, layer);
      added.forEach((count, rank) => (total[rank] += count));
      t.true(Math.max(...added) <= input.maxCopiesPerRankAndLayer);
      for (let rank = 0; rank < RANKS; rank++) {
        const experts = plan.places[layer].filter((ranks) =>
          ranks.includes(rank),
        );
        t.true(experts.length <= input.slots);
      }
      t.true(plan.places[layer].every((ranks) => ranks.length > 0));
    }
    t.true(Math.max(...total) <= input.maxCopiesPerRank);
  });
}

// Loading a copy has a cost. While no request waits, only lowering the highest
// rank loads repays it.
test("a higher cost per copy gives a plan with fewer copies", (t) => {
  const cheap = planQuick.planQuick({
    ...inputOf(1),
    minGainSharePerCopy: 0.005,
  });
  const costly = planQuick.planQuick({
    ...inputOf(1),
    minGainSharePerCopy: 0.04,
  });
  t.true(costly.copies < cheap.copies);
  t.true(costly.skewAfter >= cheap.skewAfter);
});
