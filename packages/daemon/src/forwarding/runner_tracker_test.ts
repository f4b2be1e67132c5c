import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerTracker from "./runner_tracker.ts";

const test = ava.default;

function trackerOf(
  runners: traffic.RunnerEntry[],
  lockStep = false,
): runnerTracker.RunnerTracker {
  const random = new common.Random(1);
  const inLockStep = () => lockStep;
  const parameters = { dataCentre: "d", random, inLockStep };
  const tracker = new runnerTracker.RunnerTracker(parameters);
  tracker.update({ version: 1, runners });
  return tracker;
}

function identifiers(tracker: runnerTracker.RunnerTracker): string[] {
  return tracker.runners().map(({ identifier }) => identifier);
}

// Callers wait for a full runner while a sound one stands idle. The runner failed
// its requests, hung and crashed; started anew under its identifier, it has none of
// the failures and none of the requests of its former life.
test("a runner that started anew has a clean record", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  for (let call = 0; call < 6; call++) {
    tracker.startCall("i-1")(runnerTracker.CallOutcome.Failure);
  }
  const finishOldCall = tracker.startCall("i-1");
  tracker.suspend("i-1");
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  const [restarted] = tracker.runners();
  t.is(restarted.failureShare, 0);
  t.is(restarted.own, 0);
  t.false(restarted.spared);
  finishOldCall(runnerTracker.CallOutcome.Failure);
  t.is(tracker.runners()[0].own, 0);
  t.is(tracker.runners()[0].failureShare, 0);
});

test("a runner that goes on keeps its record", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.startCall("i-1")(runnerTracker.CallOutcome.Failure);
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ slots: 4 })],
  });
  t.true(tracker.runners()[0].failureShare > 0);
});

// Each request sent there is turned away and sent again, which uses up the repeats
// that all share. The address was given to another runner, and the old registration
// stays listed for seconds while the list changes for other reasons.
test("a runner that is gone from its address gets no more while listed", (t) => {
  const other = runnerFixture.createRunner({ identifier: "i-2", port: 81 });
  const tracker = trackerOf([runnerFixture.createRunner(), other]);
  tracker.removeReplaced(runnerFixture.createRunner());
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner(), other],
  });
  tracker.update({
    version: 3,
    runners: [runnerFixture.createRunner(), other],
  });
  t.deepEqual(identifiers(tracker), ["i-2"]);
});

test("a runner that is gone is taken again once it started anew", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.removeReplaced(runnerFixture.createRunner());
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  t.deepEqual(identifiers(tracker), ["i-1"]);
});

// The answer to a request of the former life comes when the new one is listed.
test("a late word of the former life does not drop the new one", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  tracker.removeReplaced(runnerFixture.createRunner());
  t.deepEqual(identifiers(tracker), ["i-1"]);
});

/** A board on which a request at `i-1` has made no progress for long enough. */
async function trackerWithStall(
  lockStep: boolean,
): Promise<runnerTracker.RunnerTracker> {
  const runners = ["i-1", "i-2"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: 80 + index }),
  );
  const tracker = trackerOf(runners, lockStep);
  tracker.startCall("i-1");
  const notice = new common.ChangeNotice();
  await notice.until({
    condition: () => {
      setTimeout(() => notice.announce(), 20);
      return tracker.isStalled("i-1");
    },
    timeoutMilliseconds: 10_000,
  });
  return tracker;
}

function availableRunners(tracker: runnerTracker.RunnerTracker): string[] {
  const views = tracker.candidates("s", new Set());
  return views
    .filter(({ suspended: spared }) => !spared)
    .map((view) => view.identifier);
}

// Callers' streams stand still while their group holds a pass, for 0.9 s. Given up
// after 0.6 s they were all sent to the one rank that nothing was under way at, which
// is on the frozen host, and never answered there. All ranks advance together: one
// stalls, all have, and none is better before something is heard of it.
test("when a rank has stalled, another is no way out until it is heard", async (t) => {
  const tracker = await trackerWithStall(true);
  t.deepEqual(availableRunners(tracker), []);
  tracker.startCall("i-2");
  tracker.noteProgress("i-2");
  t.deepEqual(availableRunners(tracker), ["i-2"]);
});

test("a runner on its own that stalls says nothing of the others", async (t) => {
  const tracker = await trackerWithStall(false);
  t.deepEqual(availableRunners(tracker), ["i-2"]);
});

// A group that was formed anew takes work as a whole. Callers of a backlog waited for
// another second while entries found that out rank by rank.
test("when one rank of a group takes work again, all do", (t) => {
  const runners = ["i-1", "i-2", "i-3"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: 80 + index }),
  );
  const candidatesAfterProgress = (lockStep: boolean) => {
    const tracker = trackerOf(runners, lockStep);
    for (const { identifier } of runners) tracker.noteRefusal(identifier);
    tracker.startCall("i-1");
    tracker.noteProgress("i-1");
    return tracker.candidates("s", new Set()).map((view) => view.identifier);
  };
  t.deepEqual(candidatesAfterProgress(true), ["i-1", "i-2", "i-3"]);
  t.deepEqual(candidatesAfterProgress(false), ["i-1"]);
});

// A list made from older rows of the store says that a runner is ready which is about to
// end: requests sent there are cut off.
test("a runner that was leaving gets nothing new from an older list", (t) => {
  const leaving = runnerFixture.createRunner({ leaving: true });
  const tracker = trackerOf([leaving]);
  tracker.update({ version: 2, runners: [runnerFixture.createRunner()] });
  t.is(tracker.choose("s", new Set()), undefined);
  tracker.update({ version: 3, runners: [] });
  tracker.update({ version: 4, runners: [runnerFixture.createRunner()] });
  t.is(tracker.choose("s", new Set()), undefined);
});
