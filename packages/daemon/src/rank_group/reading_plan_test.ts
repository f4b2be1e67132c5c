import * as ava from "ava";
import * as rankFixture from "./rank_fixture.ts";
import * as readingPlan from "./reading_plan.ts";

const test = ava.default;

const NOW = 10_000;

function stateOf(
  others: Partial<readingPlan.ReadingState> = {},
): readingPlan.ReadingState {
  return {
    role: readingPlan.GroupRole.Follower,
    status: rankFixture.createStatus(),
    expectedLoadedAt: undefined,
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
    if (now < readingPlan.nextStateReadingAt(stateAt(now), readAt)) continue;
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
  t.true(readingPlan.nextStateReadingAt(stateOf(), NOW) <= NOW + 600);
});

// All ranks of a group wait for the one that is seen last to have loaded its map.
test("a map is looked for when it should be loaded, and closely from then on", (t) => {
  const loading = stateOf({ expectedLoadedAt: NOW + 300 });
  t.is(readingPlan.nextStateReadingAt(loading, NOW), NOW + 300);
  const due = stateOf({ expectedLoadedAt: NOW - 100 });
  t.true(readingPlan.nextStateReadingAt(due, NOW) <= NOW + 15);
});

test("a rank that is about to hold a pass, or holds one, is read closely", (t) => {
  const announced = stateOf({ closelyUntil: NOW + 50 });
  t.true(readingPlan.nextStateReadingAt(announced, NOW) <= NOW + 40);
  const status = rankFixture.createStatus({ heldStep: 12 });
  t.true(readingPlan.nextStateReadingAt(stateOf({ status }), NOW) <= NOW + 40);
});

// The group keeps its first map, under which all streams are late, until it is seen to
// be open, and until somebody has counted.
test("a group that is being formed is read closely", (t) => {
  const status = rankFixture.createStatus({ open: false, mapVersion: 0 });
  t.true(readingPlan.nextStateReadingAt(stateOf({ status }), NOW) <= NOW + 80);
});

test("a leader sees closely which pass its group is at while it switches", (t) => {
  const role = readingPlan.GroupRole.Switching;
  t.true(readingPlan.nextStateReadingAt(stateOf({ role }), NOW) <= NOW + 40);
});

test("nobody reads choices that nobody asked for, or where nothing runs", (t) => {
  t.is(readingPlan.nextCountReadingAt(stateOf(), NOW, false), Infinity);
  const status = rankFixture.createStatus({ active: 0 });
  const idle = stateOf({ status, countMilliseconds: 100 });
  t.is(readingPlan.nextCountReadingAt(idle, NOW, true), Infinity);
  const busy = stateOf({ countMilliseconds: 100 });
  t.is(readingPlan.nextCountReadingAt(busy, NOW, false), NOW + 100);
});
