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

/** Each expert on one rank, in turn. */
function firstPlaces(): number[][][] {
  return Array.from({ length: SHAPE.layers }, () =>
    Array.from({ length: EXPERTS }, (_, expert) => [expert % RANKS]),
  );
}

/** Choices of one rank of which most fall on a few experts, from `liked` on. */
function counted(random: common.Random, firstPopular: number): number[] {
  return Array.from({ length: SHAPE.layers * EXPERTS }, (_, index) => {
    const place = (index - firstPopular + EXPERTS) % EXPERTS;
    const mean = 2_000 * (place + 1) ** -1.3;
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
    gapMilliseconds: 120,
    demand,
  });
  return { planner, demand };
}

function feed(
  demand: demandModule.Demand,
  random: common.Random,
  firstPopular: number,
  now: number,
): void {
  for (let rank = 0; rank < RANKS; rank++) {
    demand.add(rank, counted(random, firstPopular), now);
  }
}

/** Experts loaded, map after map, until no further map pays. */
function copiesUntilEven(active: number): number {
  const { planner, demand } = createPlanner();
  feed(demand, new common.Random(5), 4, 0);
  let places = firstPlaces();
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

// Streams pause for the slowest rank until the next map is in force: a shift is
// answered at the next look, and demand that stays is weighed five times a second.
test("a shift is planned for at once, and calm demand seldom", (t) => {
  const { planner, demand } = createPlanner();
  const random = new common.Random(5);
  let now = 0;
  for (; now < 3_000; now += 100) feed(demand, random, 4, now);
  t.true(planner.isDue(now));
  planner.plan(now, statusesOf(6), firstPlaces());
  t.false(planner.isDue(now + 50));
  feed(demand, random, 30, now + 100);
  t.true(planner.isDue(now + 100));
});

// Full of requests, the next shift would push every pass over the longest pause;
// nearly empty, no caller is served sooner by a more even map.
test("a full group loads more experts than one with room", (t) => {
  const copies = [1, 8].map((active) => copiesUntilEven(active));
  t.true(copies[0] > 0);
  t.true(copies[1] > copies[0]);
});

test("a map that is even already is left as it is", (t) => {
  const { planner, demand } = createPlanner();
  demand.add(0, new Array<number>(SHAPE.layers * EXPERTS).fill(2_000), 0);
  t.is(planner.plan(0, statusesOf(8), firstPlaces()), undefined);
});
