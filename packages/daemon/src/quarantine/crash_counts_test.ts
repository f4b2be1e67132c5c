import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as crashCounts from "./crash_counts.ts";

const test = ava.default;

function run(startedAt: number, endedAt: number): crashCounts.CrashedRun {
  return { startedAt, endedAt };
}

// A request is sent again after each crash and crashes three runners in turn.
test("three crashes during runs that follow each other reach the threshold", (t) => {
  const runs = [run(0, 100), run(110, 200), run(4_000, 4_100)];
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 3, sequential: 3 });
  t.false(
    crashCounts.reachesThreshold(crashCounts.countCrashes(runs.slice(0, 2))),
  );
  t.true(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

// Two copies of a request are sent at once and crash a runner each. Later the
// request is sent again and crashes a third runner.
test("two crashes during overlapping runs and one in a later run reach the threshold", (t) => {
  const runs = [run(0, 100), run(20, 110), run(4_000, 4_100)];
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 3, sequential: 2 });
  t.true(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

// Many hosts fail at once while a request that many callers send is under way
// on each of them.
test("crashes during runs that all overlap do not reach the threshold", (t) => {
  const runs = Array.from({ length: 50 }, (_, index) =>
    run(index, 1_000 + index),
  );
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 50, sequential: 1 });
  t.false(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

test("the counts do not depend on the order of the runs", (t) => {
  const runArbitrary = fastCheck.tuple(
    fastCheck.integer({ min: 0, max: 1_000 }),
    fastCheck.integer({ min: 0, max: 500 }),
  );
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(runArbitrary, { maxLength: 12 }),
      fastCheck.nat(),
      (pairs, offset) => {
        const runs = pairs.map(([start, duration]) =>
          run(start, start + duration),
        );
        const split = runs.length === 0 ? 0 : offset % runs.length;
        const rotated = [...runs.slice(split), ...runs.slice(0, split)];
        t.deepEqual(
          crashCounts.countCrashes(rotated),
          crashCounts.countCrashes(runs),
        );
      },
    ),
    { seed: 1 },
  );
});
