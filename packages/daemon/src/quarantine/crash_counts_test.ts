import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as crashCounts from "./crash_counts.ts";

const test = ava.default;

function run(startedAt: number, endedAt: number): crashCounts.CrashedRun {
  return { startedAt, endedAt };
}

// One request sent again after each end: three runners in turn.
test("runs that follow each other prove it with the third", (t) => {
  const runs = [run(0, 100), run(110, 200), run(4_000, 4_100)];
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 3, sequential: 3 });
  t.false(
    crashCounts.reachesThreshold(crashCounts.countCrashes(runs.slice(0, 2))),
  );
  t.true(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

// The same request sent twice at once, and twice again.
test("runs of two copies at once prove it with the third", (t) => {
  const runs = [run(0, 100), run(20, 110), run(4_000, 4_100)];
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 3, sequential: 2 });
  t.true(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

// Many hosts are lost at once while a popular request is under way at each of them.
test("runs that were all under way at one moment prove nothing", (t) => {
  const runs = Array.from({ length: 50 }, (_, index) =>
    run(index, 1_000 + index),
  );
  t.deepEqual(crashCounts.countCrashes(runs), { crashes: 50, sequential: 1 });
  t.false(crashCounts.reachesThreshold(crashCounts.countCrashes(runs)));
});

test("the order in which runs are told does not matter", (t) => {
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
