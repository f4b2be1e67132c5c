import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as demandModule from "./demand.ts";
import * as mapPlanner from "./map_planner.ts";
import * as rankFixture from "./rank_fixture.ts";

const test = ava.default;

const RANKS = 12;
const EXPERTS = 72;
const SHAPE = rankFixture.createShape({ layers: 2 });

function statusesOf(active: number): wire.RankStatus[] {
  return Array.from({ length: RANKS }, () =>
    rankFixture.createStatus({ active }),
  );
}

/** Places each expert on one rank, in turn. */
function initialPlaces(): number[][][] {
  return Array.from({ length: SHAPE.layers }, () =>
    Array.from({ length: EXPERTS }, (_, expert) => [expert % RANKS]),
  );
}

/**
 * The activations that one rank counts when most fall on a few experts,
 * beginning with `firstPopular`.
 */
function skewedCounts(random: common.Random, firstPopular: number): number[] {
  return Array.from({ length: SHAPE.layers * EXPERTS }, (_, index) => {
    const position = (index - firstPopular + EXPERTS) % EXPERTS;
    const mean = 2_000 * (position + 1) ** -1.3;
    return Math.round(mean * random.between(0.9, 1.1));
  });
}

function createPlanner(): {
  planner: mapPlanner.MapPlanner;
  demand: demandModule.Demand;
} {
  const demand = new demandModule.Demand(EXPERTS);
  const planner = new mapPlanner.MapPlanner({
    ranks: RANKS,
    shape: SHAPE,
    // Longest pause of a stream that still counts as on time.
    gapMilliseconds: 120,
    demand,
  });
  return { planner, demand };
}

function addCounts(
  demand: demandModule.Demand,
  random: common.Random,
  firstPopular: number,
  now: number,
): void {
  for (let rank = 0; rank < RANKS; rank++) {
    demand.add(rank, skewedCounts(random, firstPopular), now);
  }
}

/**
 * Number of copies, that is of experts loaded, that one map after another
 * needs, until no further map saves enough. `active`: requests that run at each
 * rank, of 8 at most.
 */
function totalCopies(active: number): number {
  const { planner, demand } = createPlanner();
  addCounts(demand, new common.Random(5), 4, 0);
  let places = initialPlaces();
  let copies = 0;
  for (let now = 0; now < 10_000; now += 500) {
    const planned = planner.plan(now, statusesOf(active), places);
    if (!planned) break;
    copies += planned.plan.copies;
    ({ places } = planned.plan);
  }
  return copies;
}

test("nothing is planned before demand is known", (t) => {
  const { planner } = createPlanner();
  t.false(planner.isDue(0));
});

// Streams wait for the slowest rank until the next map is in force. So a new
// map is considered at the first check after a shift; while demand is stable,
// one is considered five times a second.
test("a new map is due at once after a shift, but not 50 ms after a plan while demand is stable", (t) => {
  const { planner, demand } = createPlanner();
  const random = new common.Random(5);
  let now = 0;
  for (; now < 3_000; now += 100) addCounts(demand, random, 4, now);
  t.true(planner.isDue(now));
  planner.plan(now, statusesOf(6), initialPlaces());
  t.false(planner.isDue(now + 50));
  addCounts(demand, random, 30, now + 100);
  t.true(planner.isDue(now + 100));
});

// In a full group, the next shift would make every iteration longer than the
// pause that still counts as on time (`gapMilliseconds`). In a nearly empty
// group, only the worst peaks make answers later, so only the copies that level
// those are loaded.
test("a full group loads more experts than a nearly empty one", (t) => {
  const copies = [1, 8].map((active) => totalCopies(active));
  t.true(copies[0] > 0);
  t.true(copies[1] > copies[0]);
});

test("a map that is already balanced is not changed", (t) => {
  const { planner, demand } = createPlanner();
  demand.add(0, new Array<number>(SHAPE.layers * EXPERTS).fill(2_000), 0);
  t.is(planner.plan(0, statusesOf(8), initialPlaces()), undefined);
});
