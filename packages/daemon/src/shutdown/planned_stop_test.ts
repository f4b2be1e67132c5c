import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as plannedStop from "./planned_stop.ts";

const test = ava.default;

function createStop(graceMilliseconds: number): plannedStop.PlannedStop {
  const lifeCycle = new common.LifeCycle("test");
  return new plannedStop.PlannedStop({ graceMilliseconds, lifeCycle });
}

const NEVER = {
  longestMilliseconds: 1e9,
  expectedMilliseconds: 1e9,
  repeatable: true,
};

test("before a stop every request is admitted", (t) => {
  const stop = createStop(8_000);
  t.true(stop.admits(NEVER));
  t.false(stop.started.aborted);
  t.is(stop.remainingMilliseconds, Infinity);
});

// Guards against requests that a stopping process takes and can't finish.
test("in a stop a request is admitted only if it ends in time", (t) => {
  const stop = createStop(8_000);
  stop.start();
  t.true(stop.started.aborted);
  const { remainingMilliseconds: remaining } = stop;
  t.true(remaining > 8_000 * (5 / 6) && remaining < 8_000);
  const admits = (longestMilliseconds: number, expectedMilliseconds: number) =>
    stop.admits({
      longestMilliseconds,
      expectedMilliseconds,
      repeatable: true,
    });
  t.true(admits(remaining - 200, Infinity));
  t.false(admits(remaining, Infinity));
  t.true(admits(20_000, remaining - 100));
  t.false(admits(20_000, remaining + 100));
  t.false(admits(20_000, Infinity));
});

// Guards against estimates that let a request in when callers had time to leave.
test("late in a stop only the request's own bound counts", async (t) => {
  const stop = createStop(60_000);
  stop.start();
  while (stop.elapsedMilliseconds < 2_600) await common.sleep(50);
  const probablyShort = { ...NEVER, expectedMilliseconds: 10 };
  t.false(stop.admits(probablyShort));
  t.true(stop.admits({ ...probablyShort, longestMilliseconds: 20_000 }));
});

// Guards against a request that was cut off and may have run, though it was sent when
// the stop was known to be too short for it.
test("in a stop a request that may not be repeated needs a bound that fits", (t) => {
  const stop = createStop(8_000);
  stop.start();
  const once = { ...NEVER, expectedMilliseconds: 10, repeatable: false };
  t.false(stop.admits(once));
  t.true(stop.admits({ ...once, longestMilliseconds: 2_000 }));
});

// Guards against requests that are taken for time that the process does not have, as
// it was still starting when the signal came.
test("the time of a stop counts from the signal", (t) => {
  const stop = createStop(8_000);
  stop.start(3_000);
  t.true(stop.elapsedMilliseconds >= 3_000);
  t.true(stop.remainingMilliseconds <= 5_000);
  const work = { ...NEVER, longestMilliseconds: 5_000 };
  t.false(stop.admits(work));
});

// Guards against requests that are cut off by the kill, without an answer.
test("the deadline for answers comes before the process has to be gone", async (t) => {
  const stop = createStop(400);
  stop.start();
  await common.sleep(5_000, stop.deadline);
  t.true(stop.deadline.aborted);
  t.true(stop.elapsedMilliseconds < 400);
  t.true(stop.exitMilliseconds < 400 - stop.elapsedMilliseconds + 1);
});
