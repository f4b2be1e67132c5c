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

const SLOW_RANK = 3;
const SLOW_PACE = 12;

function evenCounts(): number[] {
  return new Array<number>(SHAPE.layers * EXPERTS).fill(2_000);
}

/** Share of the activations that the slow rank has under a demand. */
function shareOfSlowRank(
  demand: demandModule.Demand,
  places: number[][][],
): number {
  let share = 0;
  let total = 0;
  demand.load.forEach((load, layer) => {
    load.forEach((count, expert) => {
      const ranks = places[layer][expert];
      total += count;
      if (ranks.includes(SLOW_RANK)) share += count / ranks.length;
    });
  });
  return share / total;
}

/** Plans one map after another for a time, with a pace of one rank. */
function planFor(
  planner: mapPlanner.MapPlanner,
  setup: {
    from: number;
    milliseconds?: number;
    places: number[][][];
    pace: number | undefined;
  },
): { places: number[][][]; switches: number } {
  let { places } = setup;
  let switches = 0;
  const statuses = statusesOf(6);
  statuses[SLOW_RANK] = { ...statuses[SLOW_RANK], pace: setup.pace };
  const end = setup.from + (setup.milliseconds ?? 10_000);
  for (let now = setup.from; now < end; now += 200) {
    const planned = planner.plan(now, statuses, places);
    if (!planned) continue;
    switches++;
    ({ places } = planned.plan);
    for (const layer of places) {
      assertMap(layer.every((ranks) => ranks.length > 0));
      for (let rank = 0; rank < RANKS; rank++) {
        const held = layer.filter((ranks) => ranks.includes(rank)).length;
        assertMap(held <= SHAPE.expertSlots);
      }
    }
  }
  return { places, switches };
}

/** Throws if a condition does not hold that every map must meet. */
function assertMap(condition: boolean): void {
  if (!condition) throw new Error("a map without a replica or with too many");
}

// One rank at a twelfth of its speed makes each iteration of its group twelve
// times as long while it has as many activations as the others.
test("activations move away from a slow rank", (t) => {
  // A pace of 100 is the highest that the reader of reports lets through.
  for (const pace of [SLOW_PACE, 100]) {
    const { planner, demand } = createPlanner();
    demand.add(0, evenCounts(), 0);
    const places = initialPlaces();
    const before = shareOfSlowRank(demand, places);
    const slow = planFor(planner, { from: 0, places, pace });
    t.true(slow.switches > 0);
    t.true(shareOfSlowRank(demand, slow.places) < before / 6);
  }
});

// A rank that has recovered and still has no experts makes the others wait for
// each other when demand shifts, and the group would have one rank less for good.
test("after the next shift of demand a rank that has recovered has activations again", (t) => {
  const { planner, demand } = createPlanner();
  const random = new common.Random(5);
  addCounts(demand, random, 4, 0);
  const places = initialPlaces();
  const slow = planFor(planner, { from: 0, places, pace: SLOW_PACE });
  const whenSlow = shareOfSlowRank(demand, slow.places);
  for (let now = 10_000; now < 11_000; now += 100) {
    addCounts(demand, random, 30, now);
    planner.isDue(now);
  }
  const setup = { from: 11_000, places: slow.places, pace: 1 };
  const recovered = planFor(planner, setup);
  const afterwards = shareOfSlowRank(demand, recovered.places);
  t.log(whenSlow, afterwards);
  t.true(whenSlow < 0.25 / RANKS);
  t.true(afterwards > 0.5 / RANKS);
});

// A rank that is slow every other second. If the map followed each change
// whatever it costs, the group would load experts all the time.
test("a rank that alternates between slow and usual causes at most two switches each time it becomes slow", (t) => {
  const { planner, demand } = createPlanner();
  demand.add(0, evenCounts(), 0);
  let places = initialPlaces();
  for (let round = 0; round < 10; round++) {
    const pace = round % 2 === 0 ? SLOW_PACE : 1;
    const setup = { from: round * 1_000, places, pace, milliseconds: 1_000 };
    const planned = planFor(planner, setup);
    t.true(planned.switches <= (pace > 1 ? 2 : 1));
    ({ places } = planned);
  }
});

// The map followed a pace that alternates every second, and the group loaded
// experts with each change.
test("a rank that alternates every second causes no switch after its first slow second", (t) => {
  const { planner, demand } = createPlanner();
  addCounts(demand, new common.Random(5), 4, 0);
  const setup = { milliseconds: 1_000, pace: SLOW_PACE };
  let { places } = planFor(planner, {
    ...setup,
    from: 0,
    places: initialPlaces(),
  });
  for (let round = 1; round < 10; round++) {
    const pace = round % 2 === 0 ? SLOW_PACE : 1;
    const planned = planFor(planner, {
      ...setup,
      from: round * 1_000,
      places,
      pace,
    });
    t.is(planned.switches, 0);
    ({ places } = planned);
  }
  const recovered = planFor(planner, { from: 10_000, places, pace: 1 });
  t.true(recovered.switches > 0);
});

test("without a slow rank the maps are those of ranks that report no pace", (t) => {
  const mapsWith = (pace: number | undefined) => {
    const { planner, demand } = createPlanner();
    addCounts(demand, new common.Random(5), 4, 0);
    return planFor(planner, { from: 0, places: initialPlaces(), pace });
  };
  const usual = mapsWith(undefined);
  t.true(usual.switches > 0);
  // A rank that says it is faster than usual counts as usual.
  for (const pace of [1, 0.5, 0]) t.deepEqual(mapsWith(pace), usual);
});

// A rank that is slow by a few percent costs less than the switch.
test("a rank that is slightly slow gets no new map", (t) => {
  const { planner, demand } = createPlanner();
  demand.add(0, evenCounts(), 0);
  const setup = { from: 0, places: initialPlaces(), pace: 1.05 };
  t.is(planFor(planner, setup).switches, 0);
});
