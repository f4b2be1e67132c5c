import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as callerRequest from "../forwarding/caller_request.ts";
import * as forwardingFixture from "../forwarding/forwarding_fixture.ts";
import * as runnerTracker from "../forwarding/runner_tracker.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;
const WHOLE = { answerForm: traffic.AnswerForm.Whole };

const CHOICES_BEFORE =
  "231431-43-14-14-32-43-14-42-14-24-24-42-42-42-42-42-42-42-42";

/** An entry before two runners in the data centre x and one in y. */
function createEntry(
  change: forwardingFixture.EntrySetup = {},
): forwardingFixture.SteppedEntry {
  return new forwardingFixture.SteppedEntry({
    runners: ["x/i-1", "x/i-2", "y/i-3"],
    ...change,
  });
}

function answer({ calls }: forwardingFixture.SentRequest): void {
  const call = calls.at(-1);
  call?.begin();
  call?.send(eventText(1));
  call?.end();
}

test("first attempts go past an evacuated data centre, and return to it", async (t) => {
  const entry = createEntry();
  entry.evacuated.add("x");
  for (let number = 0; number < 20; number++) {
    const request = entry.send(`q-${number}`);
    await until(() => request.calls.length === 1);
    t.is(request.calls[0].runner, "y/i-3");
    answer(request);
    await request.finished;
  }
  entry.evacuated.clear();
  entry.evacuated.add("y");
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  t.true(request.calls[0].runner.startsWith("x/"));
  answer(request);
  await request.finished;
});

// Guards against a retry, after a failure in the data centre, at its other runner.
test("a retry goes past a data centre that was evacuated meanwhile", async (t) => {
  const entry = createEntry({ route: WHOLE });
  entry.evacuated.add("y");
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  entry.evacuated.add("x");
  entry.evacuated.delete("y");
  request.calls[0].refuse();
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].runner, "y/i-3");
  answer(request);
  await request.finished;
  t.is(request.ended, "whole");
});

// Guards against a resumed stream, and against the loss of one that goes on: the
// runner's streams run to their end.
test("a stream goes on in an evacuated data centre, and resumes outside", async (t) => {
  const entry = createEntry({ runners: ["x/i-1", "x/i-2"] });
  const request = entry.send("q");
  const broken = entry.send("r");
  await until(() => request.calls.length + broken.calls.length === 2);
  for (const { calls } of [request, broken]) {
    calls[0].begin();
    calls[0].send(eventText(1));
  }
  entry.evacuated.add("x");
  request.calls[0].send(eventText(2));
  request.calls[0].end();
  await request.finished;
  t.is(request.ended, "whole");
  t.is(request.text, eventText(1) + eventText(2));
  broken.calls[0].breakOff();
  await broken.finished;
  t.is(broken.calls.length, 1);
});

// Guards against a hedged attempt, beside a silent one, at the other runner there.
test("a hedged attempt goes past an evacuated data centre", async (t) => {
  const entry = createEntry();
  entry.evacuated.add("y");
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin();
  request.calls[0].send(eventText(1));
  entry.evacuated.add("x");
  entry.evacuated.delete("y");
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].runner, "y/i-3");
  request.calls[0].send(eventText(2));
  request.calls[0].end();
  await request.finished;
  t.is(request.ended, "whole");
});

// Guards against probes of runners that refuse requests although they have room.
test("no probe goes to an evacuated data centre", async (t) => {
  const entry = createEntry({
    runners: ["x/i-1", "x/i-2"],
    route: WHOLE,
    retries: 50,
    onCall: (call) => call.refuse(),
  });
  const request = entry.send("q");
  await until(() => request.calls.length >= 3);
  entry.evacuated.add("x");
  const { length } = request.calls;
  await request.finished;
  t.is(request.calls.length, length);
  t.is(request.ended, "refused");
});

// Guards against requests that wait for a rate limit and are sent when their turn
// comes.
test("a request that waits for a permit is not sent after all", async (t) => {
  const entry = createEntry({ runners: ["x/i-1"], route: WHOLE });
  entry.limitRunner("x/i-1", 8);
  const requests: forwardingFixture.SentRequest[] = [];
  const sent = () => requests.flatMap(({ calls }) => calls);
  // Until the entry has a share of the limit, requests are refused.
  await until(() => {
    requests.push(entry.send(`q-${requests.length}`));
    return sent().length > 0;
  });
  requests.push(entry.send("q"));
  entry.evacuated.add("x");
  const { length } = sent();
  const waiting = requests.filter(
    ({ calls, ended }) => calls.length === 0 && ended === "",
  );
  t.true(waiting.length > 0);
  for (const call of sent()) {
    call.begin();
    call.end();
  }
  await Promise.all(requests.map(({ finished }) => finished));
  t.is(sent().length, length);
});

// Guards against an evacuation that comes between the choice of a runner and the
// attempt, which nothing else would notice.
test("the last check before the request is sent sees an evacuation", async (t) => {
  const entry = createEntry({ route: { ...WHOLE, mostAttempts: 1 } });
  const quarantineAdmit = entry.quarantine.admit.bind(entry.quarantine);
  entry.quarantine.admit = (request) => {
    entry.evacuated.add("x").add("y");
    return quarantineAdmit(request);
  };
  const request = entry.send("q");
  await request.finished;
  t.is(request.calls.length, 0);
  t.is(request.refusal?.kind, callerRequest.RefusalKind.NotRun);
});

// Guards against callers that wait in vain, or come back at once.
test("with all data centres evacuated requests are refused at once as not run", async (t) => {
  const entry = createEntry();
  entry.evacuated.add("x").add("y");
  const startedAt = common.now();
  const request = entry.send("q");
  await request.finished;
  t.true(common.now() - startedAt < 50);
  t.is(request.calls.length, 0);
  t.is(request.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true((request.refusal?.retryAfterMilliseconds ?? 0) > 0);
});

/**
 * Choices of a tracker under calls, refusals, failures and suspensions; `tracker`
 * has runners in two data centres.
 */
function choicesOf(tracker: runnerTracker.RunnerTracker): string {
  const open: ((outcome: runnerTracker.CallOutcome) => void)[] = [];
  const choices: string[] = [];
  const { Success, Failure } = runnerTracker.CallOutcome;
  for (let step = 0; step < 60; step++) {
    const tried = new Set(choices.slice(-(step % 3)));
    const runner = tracker.choose("s", tried);
    choices.push(runner?.identifier ?? "-");
    if (runner) open.push(tracker.startCall(runner.identifier));
    if (step % 2 === 0) open.shift()?.(step % 8 === 0 ? Failure : Success);
    if (step === 20) tracker.noteRefusal("3");
    if (step === 30) tracker.suspend("1");
  }
  return choices.join("");
}

// Guards against other decisions in deployments that evacuate nothing. The expected
// choices were made by the tracker before it knew of evacuations.
test("with no evacuation in force the same runners are chosen as before", (t) => {
  const runners = ["1", "2", "3", "4", "5", "6"].map((identifier, index) =>
    runnerFixture.createRunner({
      identifier,
      dataCentre: index < 3 ? "x" : "y",
      leaving: identifier === "6",
    }),
  );
  const tracker = new runnerTracker.RunnerTracker({
    dataCentre: "x",
    random: new common.Random(1),
    inLockStep: () => false,
    rateLimitWaitOf: ({ identifier }) => (identifier === "5" ? 5 : 0),
    restOf: () => 0,
    isEvacuated: (name) => name === "elsewhere",
  });
  tracker.update({ version: 1, runners });
  t.is(choicesOf(tracker), CHOICES_BEFORE);
});

/** A tracker of a runner in x that refused a request, and the evacuated names. */
function createTracker(): {
  tracker: runnerTracker.RunnerTracker;
  evacuated: Set<string>;
  rest: { milliseconds: number };
  limit: { milliseconds: number };
} {
  const evacuated = new Set<string>();
  const rest = { milliseconds: 0 };
  const limit = { milliseconds: 0 };
  const tracker = new runnerTracker.RunnerTracker({
    dataCentre: "x",
    random: new common.Random(1),
    inLockStep: () => false,
    rateLimitWaitOf: () => limit.milliseconds,
    restOf: () => rest.milliseconds,
    isEvacuated: (name) => evacuated.has(name),
  });
  const runner = runnerFixture.createRunner({ dataCentre: "x" });
  tracker.update({ version: 1, runners: [runner] });
  return { tracker, evacuated, rest, limit };
}

test("waits count no evacuated runner, which stays in use", (t) => {
  const { tracker, evacuated, rest, limit } = createTracker();
  const runner = runnerFixture.createRunner({ dataCentre: "x" });
  const none = new Set<string>();
  tracker.noteRefusal("i-1");
  evacuated.add("x");
  t.false(tracker.hasRefusing("s"));
  t.false(tracker.mayReceive(runner));
  t.deepEqual(tracker.candidates("s", none), []);
  rest.milliseconds = 100;
  t.is(tracker.firstRestEnd("s"), undefined);
  rest.milliseconds = 0;
  limit.milliseconds = 100;
  t.is(tracker.nextWithinRateLimit("s", none), undefined);
  t.true(tracker.inUse(runner));
  t.true(tracker.versionsOf("s").has(runner.version));
  evacuated.clear();
  t.true(tracker.hasRefusing("s"));
  t.truthy(tracker.nextWithinRateLimit("s", none));
});

// Guards against a runner that is taken for crashed, or for leaving, because its data
// centre is evacuated.
test("a run that breaks off in an evacuated data centre is checked for a crash", async (t) => {
  const entry = createEntry({
    runners: ["x/i-1"],
    presence: common.Presence.Refused,
  });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  entry.evacuated.add("x");
  request.calls[0].breakOff();
  await request.finished;
  await until(() => entry.crashes.length === 1);
  t.deepEqual(entry.probes, ["x/i-1"]);
});
