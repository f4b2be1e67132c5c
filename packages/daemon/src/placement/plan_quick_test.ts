import * as crypto from "node:crypto";
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

/** Digests of the plans that were made before ranks had a pace, by seed. */
const PLANS_BEFORE = [
  [1, "0a0e18a138f964a8"],
  [2, "7a5260fa0947cb3b"],
  [3, "d1550e1d96a92a00"],
  [4, "743a06b2df8eb486"],
] as const;

// A different rounding of a rank's load is enough for another map, and a new map
// makes every rank of a group load experts.
test("without slow ranks the plans are those made before ranks had a pace", (t) => {
  const paces = new Array<number>(RANKS).fill(1);
  for (const [seed, digest] of PLANS_BEFORE) {
    for (const input of [inputOf(seed), { ...inputOf(seed), paces }]) {
      const { places } = planQuick.planQuick(input);
      const hash = crypto.createHash("sha256").update(JSON.stringify(places));
      t.is(hash.digest("hex").slice(0, digest.length), digest);
    }
  }
});

test("a plan for a slow rank lowers its load within slot and copy limits and keeps a replica of each expert", (t) => {
  const paces = Array.from({ length: RANKS }, (_, rank) =>
    rank === 2 ? 12 : 1,
  );
  const input = { ...inputOf(1), paces };
  const plan = planQuick.planQuick(input);
  t.true(plan.skewAfter < plan.skewBefore / 2);
  for (let layer = 0; layer < LAYERS; layer++) {
    const added = copiesByRank(input.places, plan.places, layer);
    t.true(Math.max(...added) <= input.maxCopiesPerRankAndLayer);
    t.true(plan.places[layer].every((ranks) => ranks.length > 0));
    for (let rank = 0; rank < RANKS; rank++) {
      const held = plan.places[layer].filter((ranks) => ranks.includes(rank));
      t.true(held.length <= input.slots);
    }
  }
  t.true(plan.mostCopiesOfRank <= input.maxCopiesPerRank);
});

// A replica that others hold as well leaves a slow rank without any copy.
test("a slow rank gives up replicas that other ranks have, without a copy", (t) => {
  const everywhere = Array.from({ length: RANKS }, (_, rank) => rank);
  const plan = planQuick.planQuick({
    ...inputOf(1),
    slots: EXPERTS,
    places: initialPlaces().map((layer) => layer.map(() => everywhere)),
    paces: everywhere.map((rank) => (rank === 2 ? 12 : 1)),
  });
  t.is(plan.copies, 0);
  t.true(plan.changes > 0);
  t.true(plan.skewAfter < plan.skewBefore / 4);
  t.true(plan.places.flat().every((ranks) => ranks.length > 0));
});
