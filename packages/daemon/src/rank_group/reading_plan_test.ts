import * as ava from "ava";
import * as rankFixture from "./rank_fixture.ts";
import * as readingPlan from "./reading_plan.ts";

const test = ava.default;

const NOW = 10_000;

function stateOf(
  others: Partial<readingPlan.ReadingState> = {},
): readingPlan.ReadingState {
  return {
    part: readingPlan.Part.Follows,
    status: rankFixture.createStatus(),
    loadedAt: undefined,
    closelyUntil: 0,
    countMilliseconds: 0,
    now: NOW,
    ...others,
  };
}

/** Readings of the state in a second, each at its time. */
function readingsASecond(
  stateAt: (now: number) => readingPlan.ReadingState,
): number {
  let readAt = NOW;
  let readings = 0;
  for (let now = NOW; now < NOW + 1_000; now++) {
    if (now < readingPlan.nextStateAt(stateAt(now), readAt)) continue;
    readAt = now;
    readings++;
  }
  return readings;
}

// The process beside each rank of an idle group spends more of its host on looking than
// on all else it does.
test("a rank that serves nobody is read twice a second, whatever map it has", (t) => {
  for (const mapVersion of [0, 7]) {
    const status = rankFixture.createStatus({ active: 0, mapVersion });
    const readings = readingsASecond((now) => stateOf({ status, now }));
    t.true(readings <= 2, `${readings}`);
  }
});

// A leader takes a rank that it has not heard for 900 ms for gone, and reads its engine
// from afar, which holds up the group.
test("a follower is read well before its leader takes it for gone", (t) => {
  t.true(readingPlan.nextStateAt(stateOf(), NOW) <= NOW + 600);
});

// All ranks of a group wait for the one that is seen last to have loaded its map.
test("a map is looked for when it should be loaded, and closely from then on", (t) => {
  const loading = stateOf({ loadedAt: NOW + 300 });
  t.is(readingPlan.nextStateAt(loading, NOW), NOW + 300);
  const late = stateOf({ loadedAt: NOW - 100 });
  t.true(readingPlan.nextStateAt(late, NOW) <= NOW + 15);
});

test("a rank that is about to hold a pass, or holds one, is read closely", (t) => {
  const announced = stateOf({ closelyUntil: NOW + 50 });
  t.true(readingPlan.nextStateAt(announced, NOW) <= NOW + 40);
  const status = rankFixture.createStatus({ heldStep: 12 });
  t.true(readingPlan.nextStateAt(stateOf({ status }), NOW) <= NOW + 40);
});

// The group keeps its first map, under which all streams are late, until it is seen to
// be open, and until somebody has counted.
test("a group that is being formed is read closely", (t) => {
  const status = rankFixture.createStatus({ open: false, mapVersion: 0 });
  t.true(readingPlan.nextStateAt(stateOf({ status }), NOW) <= NOW + 80);
});

test("a leader sees closely which pass its group is at while it switches", (t) => {
  const part = readingPlan.Part.Switches;
  t.true(readingPlan.nextStateAt(stateOf({ part }), NOW) <= NOW + 40);
});

test("nobody reads choices that nobody asked for, or where nothing runs", (t) => {
  t.is(readingPlan.nextCountAt(stateOf(), NOW, false), Infinity);
  const status = rankFixture.createStatus({ active: 0 });
  const idle = stateOf({ status, countMilliseconds: 100 });
  t.is(readingPlan.nextCountAt(idle, NOW, true), Infinity);
  const busy = stateOf({ countMilliseconds: 100 });
  t.is(readingPlan.nextCountAt(busy, NOW, false), NOW + 100);
});
