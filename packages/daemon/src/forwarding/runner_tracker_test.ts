import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerTracker from "./runner_tracker.ts";

const test = ava.default;

function trackerOf(
  runners: traffic.RunnerEntry[],
  lockStep = false,
  isEvacuated: (dataCentre: string) => boolean = () => false,
  onSlowChange?: (identifier: string, isSlow: boolean) => void,
): runnerTracker.RunnerTracker {
  const random = new common.Random(1);
  const inLockStep = () => lockStep;
  const [rateLimitWaitOf, restOf] = [() => 0, () => 0];
  const dataCentre = "d";
  const parameters = {
    dataCentre,
    random,
    inLockStep,
    rateLimitWaitOf,
    restOf,
    isEvacuated,
    onSlowChange,
  };
  const tracker = new runnerTracker.RunnerTracker(parameters);
  tracker.update({ version: 1, runners });
  return tracker;
}

function identifiers(tracker: runnerTracker.RunnerTracker): string[] {
  return tracker.runners().map(({ identifier }) => identifier);
}

// A runner failed its requests, hung and crashed, and restarted under its
// identifier. If the new incarnation kept the failures and requests of the old
// one, callers would wait for a full runner while a healthy one is idle.
test("a restarted runner has no failures, requests or suspension", (t) => {
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

test("a runner whose registration changes keeps its failure share", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.startCall("i-1")(runnerTracker.CallOutcome.Failure);
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ slots: 4 })],
  });
  t.true(tracker.runners()[0].failureShare > 0);
});

// A runner's address went to another runner, but the old registration stays
// listed for seconds while the list changes for other reasons. Each request
// sent to it would be refused and retried, which uses up the retry budget that
// all requests share.
test("a runner whose address another runner has gets no requests while listed", (t) => {
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

test("a replaced runner is used again once it has restarted", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.removeReplaced(runnerFixture.createRunner());
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  t.deepEqual(identifiers(tracker), ["i-1"]);
});

// The answer to a request of the old incarnation arrives when the new one is
// listed.
test("a late answer to the old incarnation does not remove the new one", (t) => {
  const tracker = trackerOf([runnerFixture.createRunner()]);
  tracker.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  tracker.removeReplaced(runnerFixture.createRunner());
  t.deepEqual(identifiers(tracker), ["i-1"]);
});

/**
 * A tracker with a request at `i-1` that has made no progress for longer than
 * the stall timeout.
 */
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
    .filter(({ suspended }) => !suspended)
    .map((view) => view.identifier);
}

// A group holds an iteration for 0.9 s, and its streams make no progress. After
// 0.6 s the entry would abandon all of them for the one rank that has no
// requests: the rank on the frozen host, which never answers. When one rank of
// a group stalls, all do, so no rank is a better choice before it has sent
// something.
test("when a rank has stalled, each other rank is suspended until it sends something", async (t) => {
  const tracker = await trackerWithStall(true);
  t.deepEqual(availableRunners(tracker), []);
  tracker.startCall("i-2");
  tracker.noteProgress("i-2");
  t.deepEqual(availableRunners(tracker), ["i-2"]);
});

test("without lock-step a stalled runner does not suspend the others", async (t) => {
  const tracker = await trackerWithStall(false);
  t.deepEqual(availableRunners(tracker), ["i-2"]);
});

// A re-formed group accepts requests on all ranks at once. If entries probed
// rank by rank, the callers of a backlog would wait for another second.
test("when one rank of a group accepts requests again, all its ranks get requests", (t) => {
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

// A list made from older rows of the store says that a runner is ready that is
// about to stop. Requests sent there would be cut off.
test("a runner once listed as leaving gets no requests after an older list", (t) => {
  const leaving = runnerFixture.createRunner({ leaving: true });
  const tracker = trackerOf([leaving]);
  tracker.update({ version: 2, runners: [runnerFixture.createRunner()] });
  t.is(tracker.choose("s", new Set()), undefined);
  tracker.update({ version: 3, runners: [] });
  tracker.update({ version: 4, runners: [runnerFixture.createRunner()] });
  t.is(tracker.choose("s", new Set()), undefined);
});

// Guards against a list that still calls the runner fit, and against a later answer
// that does not repeat what an earlier one said.
test("a runner that said it leaves gets no requests, whatever later lists say", (t) => {
  const runner = runnerFixture.createRunner();
  const tracker = trackerOf([runner]);
  t.true(tracker.noteLeaving(runner));
  t.false(tracker.noteLeaving(runner));
  t.is(tracker.choose("s", new Set()), undefined);
  tracker.update({ version: 2, runners: [runner] });
  t.is(tracker.choose("s", new Set()), undefined);
  const restarted = { ...runner, bornAt: runner.bornAt + 1 };
  tracker.update({ version: 3, runners: [restarted] });
  t.is(tracker.choose("s", new Set())?.bornAt, restarted.bornAt);
});

// Another runner has the address of a slow one. Its slow mark would stay, and in
// lock-step decide which ranks get requests, while it stays listed.
test("the slow mark of a replaced runner ends with it", async (t) => {
  const runners = ["i-1", "i-2"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: 80 + index }),
  );
  const changes: [string, boolean][] = [];
  const tracker = trackerOf(runners, false, undefined, (...change) =>
    changes.push(change),
  );
  const route = {
    answerForm: traffic.AnswerForm.Whole,
    objectiveMilliseconds: 40,
  } as traffic.Route;
  // The clock of answers runs while a call is in progress.
  const finishCall = tracker.startCall("i-1");
  const quick = tracker.timeAnswer(runners[1], route);
  quick.noteWhole();
  quick.end();
  tracker.timeAnswer(runners[0], route);
  const notice = new common.ChangeNotice();
  await notice.until({
    condition: () => {
      setTimeout(() => notice.announce(), 20);
      tracker.candidates("s", new Set());
      return changes.length > 0;
    },
    timeoutMilliseconds: 10_000,
  });
  tracker.removeReplaced(runners[0]);
  t.deepEqual(changes, [
    ["i-1", true],
    ["i-1", false],
  ]);
  finishCall(runnerTracker.CallOutcome.Neutral);
});
