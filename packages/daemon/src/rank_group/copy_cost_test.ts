import * as ava from "ava";
import * as rankFixture from "./rank_fixture.ts";
import * as copyCost from "./copy_cost.ts";

const test = ava.default;

const SHAPE = rankFixture.createShape();

function loadOf(
  active: number,
  others: Partial<copyCost.GroupLoad> = {},
): copyCost.GroupLoad {
  return {
    shape: SHAPE,
    statuses: Array.from({ length: 12 }, () =>
      rankFixture.createStatus({ active }),
    ),
    skewAfterShift: 3.5,
    gapMilliseconds: 120,
    ...others,
  };
}

// At low load, a map that levels all peaks costs more than all callers gain; at
// high load it lets a group answer half as many requests again. So what a copy
// must save depends on how near the next shift of demand brings the group to
// its longest pause.
test("the more strained a group is, the less a copy must save", (t) => {
  const savings = [0, 0.2, 0.6, 0.7, 0.9, 1].map(copyCost.minSavingOfCopy);
  for (let index = 1; index < savings.length; index++) {
    t.true(savings[index] <= savings[index - 1]);
  }
  t.true(savings[0] >= 4 * savings[5]);
});

test("strain grows with requests and with the skew after a shift", (t) => {
  const strains = [1, 3, 5, 8].map((active) =>
    copyCost.strainOf(loadOf(active)),
  );
  for (let index = 1; index < strains.length; index++) {
    t.true(strains[index] > strains[index - 1]);
  }
  const calm = copyCost.strainOf(loadOf(8, { skewAfterShift: 1.1 }));
  t.true(calm < strains[3]);
  t.true(strains[0] < 0.6);
  t.true(strains[3] > 1);
});

test("without a longest pause, strain is the share of slots in use", (t) => {
  const load = loadOf(4, { gapMilliseconds: 0 });
  t.is(copyCost.strainOf(load), 0.5);
});

// After an outage the backlog arrives within the second in which the next map
// is loaded. A map planned for the few requests that came first would soon be
// insufficient.
test("a group with its first map counts as strained", (t) => {
  const status = rankFixture.createStatus({ active: 1, mapVersion: 0 });
  const first = [status, status];
  t.is(copyCost.strainOf(loadOf(1, { statuses: first })), 1);
  t.true(copyCost.strainOf(loadOf(1)) < 0.6);
});

// Streams wait for the slowest rank until a better map is loaded. An expert
// that takes as long to load as the rest of a switch is loaded alone, so that
// the map comes soon; experts that load fast are loaded together.
test("the number of copies per rank follows from the time that one takes", (t) => {
  const copies = [98, 74, 15, 400, 0].map((copyMilliseconds) =>
    copyCost.maxCopiesPerRank({ ...SHAPE, copyMilliseconds }),
  );
  t.deepEqual(copies, [1, 2, 10, 1, 1]);
});

// With 63 ranks a copy takes little of one link, and 441 requests gain from it.
// At the cost for a group of twelve, almost no copy would save enough, and the
// slowest rank would stay at twice the mean.
test("a copy costs less the more requests gain from it", (t) => {
  const small = copyCost.costOfCopy(SHAPE, 12);
  const large = copyCost.costOfCopy({ ...SHAPE, copyMilliseconds: 14 }, 63);
  t.true(small > 0.8 && small < 1.3);
  t.true(large < small / 4);
  t.true(large > 0);
  t.is(copyCost.costOfCopy({ ...SHAPE, copyMilliseconds: 0 }, 12), 1);
});
