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

/** How often the state is read in a second. */
function readingsPerSecond(
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

// Otherwise the process beside each rank of an idle group would use more of its
// host's processor for readings than for all its other work.
test("a rank without requests is read twice a second, whatever map it has", (t) => {
  for (const mapVersion of [0, 7]) {
    const status = rankFixture.createStatus({ active: 0, mapVersion });
    const readings = readingsPerSecond((now) => stateOf({ status, now }));
    t.true(readings <= 2, `${readings}`);
  }
});

// A leader considers a state older than 900 ms out of date and reads that
// engine over the network, which delays the group.
test("a follower is read well before its state is out of date for the leader", (t) => {
  t.true(readingPlan.nextStateReadingAt(stateOf(), NOW) <= NOW + 600);
});

// All ranks of a group wait for the one that is seen last to have loaded its
// map.
test("an engine is read when its map should be loaded, and often from then on", (t) => {
  const loading = stateOf({ expectedLoadedAt: NOW + 300 });
  t.is(readingPlan.nextStateReadingAt(loading, NOW), NOW + 300);
  const due = stateOf({ expectedLoadedAt: NOW - 100 });
  t.true(readingPlan.nextStateReadingAt(due, NOW) <= NOW + 15);
});

test("a rank that holds or is about to hold an iteration is read often", (t) => {
  const announced = stateOf({ closelyUntil: NOW + 50 });
  t.true(readingPlan.nextStateReadingAt(announced, NOW) <= NOW + 40);
  const status = rankFixture.createStatus({ heldStep: 12 });
  t.true(readingPlan.nextStateReadingAt(stateOf({ status }), NOW) <= NOW + 40);
});

// All streams are late under the first map. The group keeps it until its leader
// sees that it is open and receives counts.
test("the engines of a group that is not yet open are read often", (t) => {
  const status = rankFixture.createStatus({ open: false, mapVersion: 0 });
  t.true(readingPlan.nextStateReadingAt(stateOf({ status }), NOW) <= NOW + 80);
});

test("a leader reads its engine often during a switch", (t) => {
  const role = readingPlan.GroupRole.Switching;
  t.true(readingPlan.nextStateReadingAt(stateOf({ role }), NOW) <= NOW + 40);
});

test("activations are not read if the leader wants none or no request runs", (t) => {
  t.is(readingPlan.nextCountReadingAt(stateOf(), NOW, false), Infinity);
  const status = rankFixture.createStatus({ active: 0 });
  const idle = stateOf({ status, countMilliseconds: 100 });
  t.is(readingPlan.nextCountReadingAt(idle, NOW, true), Infinity);
  const busy = stateOf({ countMilliseconds: 100 });
  t.is(readingPlan.nextCountReadingAt(busy, NOW, false), NOW + 100);
});
