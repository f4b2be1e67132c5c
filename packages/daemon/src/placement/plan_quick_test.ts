import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as planQuick from "./plan_quick.ts";

const test = ava.default;

const RANKS = 8;
const EXPERTS = 64;
const LAYERS = 6;

/**
 * Load by layer and expert. In each layer a few experts have most of the load,
 * as after a shift of demand that the placement does not yet follow.
 */
function shiftedLoad(seed: number): number[][] {
  const random = new common.Random(seed);
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, () => random.pareto(1, 1.1)),
  );
}

/**
 * Placement of a newly formed group. Each expert has one replica; the ranks get
 * the experts in turn.
 */
function initialPlaces(): number[][][] {
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, (_, expert) => [expert % RANKS]),
  );
}

function inputOf(seed: number): planQuick.QuickPlanInput {
  return {
    ranks: RANKS,
    // 64 experts take 8 slots of each of the 8 ranks, so 3 slots are free.
    slots: 11,
    load: shiftedLoad(seed),
    places: initialPlaces(),
    minGainSharePerCopy: 0.01,
    maxCopiesPerRank: 6,
    maxCopiesPerRankAndLayer: 4,
  };
}

/** Number of copies of a layer's experts that each rank receives by a plan. */
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
  test(`after a shift of demand, a plan lowers the skew by more than a fifth within slot and copy limits and keeps a replica of each expert, seed ${seed}`, (t) => {
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

// Each copy has a cost, which the caller passes as the least gain per copy. A
// plan that ignored it would make copies that do not repay their cost.
test("a higher least gain per copy gives a plan with fewer copies and no lower skew", (t) => {
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
