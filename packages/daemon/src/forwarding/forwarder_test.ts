import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as neverthrow from "neverthrow";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as endWatch from "../quarantine/end_watch.ts";
import * as quarantineFixture from "../quarantine/quarantine_fixture.ts";
import * as callerRequest from "./caller_request.ts";
import * as forwarderModule from "./forwarder.ts";
import * as runnerTracker from "./runner_tracker.ts";
import * as runnerCaller from "./runner_caller.ts";

const test = ava.default;

const KEY = "k";

/** What one call to a runner comes to, given the event to go on after. */
type Script = (
  call: runnerCaller.RunnerCall,
) => Promise<
  neverthrow.Result<runnerCaller.RunnerAnswer, runnerCaller.CallFailure>
>;

/** What the caller of a request saw. */
interface CallerView {
  text: string;
  status: number;
  ended: "whole" | "broken" | "refused" | "";
  refusal: callerRequest.Refusal | undefined;
}

interface Setup {
  answerForm?: traffic.AnswerForm;
  repeatability?: traffic.Repeatability;
  proofAge?: number;
  key?: string;
  retries?: number;
  timeoutMilliseconds?: number;
}

function routeOf(setup: Setup): traffic.Route {
  return {
    name: "r",
    host: "h",
    prefix: "/a/",
    repeatability: setup.repeatability ?? traffic.Repeatability.Idempotent,
    answerForm: setup.answerForm ?? traffic.AnswerForm.Whole,
    open: false,
    shares: [{ service: "s", weight: 1 }],
    mostAttempts: 2,
    timeoutMilliseconds: setup.timeoutMilliseconds ?? 5_000,
    objectiveMilliseconds: 400,
    gapMilliseconds: 120,
    urgency: 1,
  };
}

function configurationOf(
  setup: Setup,
): traffic.ProvenValue<traffic.TrafficConfiguration> {
  const configuration = new traffic.ProvenValue<traffic.TrafficConfiguration>();
  configuration.offer({
    version: 1,
    routes: [routeOf(setup)],
    services: [{ name: "s", engine: undefined }],
    accounts: [{ name: "a", keys: [KEY], urgency: undefined }],
    limits: {
      mostHeaderBytes: 1,
      mostBodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  });
  const { monotonic, wall } = common.instant();
  const age = setup.proofAge ?? 0;
  configuration.prove(1, { monotonic: monotonic - age, wall: wall - age });
  return configuration;
}

function trackerOfTwo(): runnerTracker.RunnerTracker {
  const random = new common.Random(1);
  const tracker = new runnerTracker.RunnerTracker({
    dataCentre: "d",
    random,
    inLockStep: () => false,
  });
  const runners = ["i-1", "i-2"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: index + 1 }),
  );
  tracker.update({ version: 1, runners });
  return tracker;
}

/** Sends one request past runners that answer by the scripts, in order. */
async function send(
  setup: Setup,
  scripts: Script[],
): Promise<{ seen: CallerView; calls: runnerCaller.RunnerCall[] }> {
  const calls: runnerCaller.RunnerCall[] = [];
  const tracker = trackerOfTwo();
  const presenceOf = async () => common.Presence.Listening;
  const logger = new common.RecordingLogger();
  const configuration = configurationOf(setup);
  const forwarder = new forwarderModule.Forwarder({
    configuration,
    proofAge: () => configuration.age,
    maxProofAgeMilliseconds: 4_000,
    tracker,
    caller: {
      presenceOf,
      call: (call) => {
        calls.push(call);
        return scripts[calls.length - 1](call);
      },
    },
    budgetOf: () => budget,
    quarantine: quarantineFixture.createQuarantine(),
    endWatch: new endWatch.EndWatch({
      presenceOf,
      inUse: (runner) => tracker.inUse(runner),
      endOf: () => undefined,
      onEnd: () => {},
    }),
    onAnswerStart: () => {},
    random: new common.Random(2),
    logger,
    metrics: common.discardMetrics(),
  });
  const retries = setup.retries ?? 5;
  const budget = new retryBudget.RetryBudget({
    earnedPerRequest: 0,
    largestBalance: retries,
    initialBalance: retries,
  });
  const seen: CallerView = {
    text: "",
    status: 0,
    ended: "",
    refusal: undefined,
  };
  await forwarder.forward(
    {
      identifier: "q",
      method: "POST",
      target: "/a/b",
      path: "/a/b",
      host: "h",
      headers: [],
      body: Buffer.alloc(0),
      key: setup.key ?? KEY,
      timeoutMilliseconds: 4_000,
      resumeAfter: "",
      arrivedAt: common.instant(),
    },
    recordingSink(seen),
  );
  return { seen, calls };
}

function recordingSink(seen: CallerView): callerRequest.AnswerSink {
  return {
    disconnected: new AbortController().signal,
    answer: (head, body) => {
      seen.status = head.status;
      seen.text += body.toString();
      seen.ended = "whole";
    },
    begin: (head) => (seen.status = head.status),
    write: async (piece) => {
      seen.text += piece.toString();
    },
    end: () => (seen.ended = "whole"),
    abort: () => (seen.ended = "broken"),
    refuse: (refusal) => {
      seen.refusal = refusal;
      seen.ended = "refused";
    },
  };
}

function answers(
  pieces: string[],
  options: { truncated?: boolean; status?: number; signed?: boolean } = {},
): Script {
  async function* body(): AsyncGenerator<Buffer, void, void> {
    for (const piece of pieces) yield Buffer.from(piece);
    if (options.truncated) throw new runnerCaller.TruncatedBody("reset");
  }
  const status = options.status ?? 200;
  const verdict =
    status === 200
      ? runnerCaller.Verdict.Ran
      : status === 503
        ? runnerCaller.Verdict.NotRun
        : runnerCaller.Verdict.Failed;
  return async () =>
    neverthrow.ok({
      verdict,
      head: { status, headers: [] },
      signed: options.signed ?? true,
      body: body(),
    });
}

function failsWith(kind: runnerCaller.CallFailureKind): Script {
  return async () => neverthrow.err({ kind, reason: "reset" });
}

/** Says nothing until the call is ended. */
function neverAnswers(): Script {
  return (call) =>
    new Promise((resolve) => {
      call.signal.addEventListener("abort", () => {
        const kind = runnerCaller.CallFailureKind.Unknown;
        resolve(neverthrow.err({ kind, reason: "aborted" }));
      });
    });
}

const event = (number: number) => `id: ${number}\ndata: x\n\n`;
const EVENTS = { answerForm: traffic.AnswerForm.Events };
const ONCE = { repeatability: traffic.Repeatability.AtMostOnce };

test("a whole answer is passed on as it is", async (t) => {
  const { seen } = await send({}, [answers(["he", "llo"])]);
  t.is(seen.text, "hello");
  t.is(seen.ended, "whole");
});

// A delivery would be confirmed twice. The runner's connection is reset after the
// request was sent: it may have run, so nobody else gets it, and the caller is
// told that it may have run.
test("a request that runs at most once is not repeated in doubt", async (t) => {
  const { seen, calls } = await send(ONCE, [
    failsWith(runnerCaller.CallFailureKind.Unknown),
  ]);
  t.is(calls.length, 1);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

test("a request that certainly did not run goes to another runner", async (t) => {
  for (const first of [
    answers([], { status: 503 }),
    failsWith(runnerCaller.CallFailureKind.NotSent),
  ]) {
    const { seen, calls } = await send(ONCE, [first, answers(["done"])]);
    t.not(calls[0].runner.identifier, calls[1].runner.identifier);
    t.is(seen.text, "done");
  }
});

// "Not run" is a promise on which callers act. It holds only if no runner had it.
test("not run is said only if no attempt may have run", async (t) => {
  const refused = answers([], { status: 503 });
  const both = await send(ONCE, Array<Script>(50).fill(refused));
  t.is(both.seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true((both.seen.refusal?.retryAfterMilliseconds ?? 0) > 0);
  const doubt = await send({}, [
    failsWith(runnerCaller.CallFailureKind.Unknown),
    ...Array<Script>(50).fill(refused),
  ]);
  t.is(doubt.seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

// When much fails at once, repeats would multiply the load that made it fail.
test("without budget nothing is repeated", async (t) => {
  const setup = { retries: 0 };
  const { calls } = await send(setup, [answers([], { status: 503 })]);
  t.is(calls.length, 1);
});

test("a success that is not signed is not passed on", async (t) => {
  const { seen } = await send(ONCE, [answers(["x"], { signed: false })]);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
  t.is(seen.text, "");
});

test("a runner's own failure is passed on unchanged", async (t) => {
  const { seen } = await send(ONCE, [answers(["why"], { status: 500 })]);
  t.is(seen.status, 500);
  t.is(seen.text, "why");
});

// The caller sees one stream without a gap. The first run breaks in the middle of
// its third event; the second goes on after the second event.
test("a stream that breaks goes on elsewhere after its last event", async (t) => {
  const { seen, calls } = await send(EVENTS, [
    answers([event(1), event(2), "id: 3\nda"], { truncated: true }),
    answers([event(3), event(4)]),
  ]);
  t.is(calls[1].resumeAfter, "2");
  t.is(seen.text, [1, 2, 3, 4].map(event).join(""));
  t.is(seen.ended, "whole");
});

// A run that went on at the wrong event would give the caller a stream with a
// piece missing, which looks complete. It is broken off, and can be asked again.
test("a stream with a gap is broken off", async (t) => {
  const { seen } = await send(EVENTS, [
    answers([event(1), event(2)], { truncated: true }),
    answers([event(4)]),
  ]);
  t.is(seen.text, [1, 2].map(event).join(""));
  t.is(seen.ended, "broken");
});

// A rank of a group was lost: all its ranks say nothing for a second or two. The
// caller has its first event from another group within its patience.
test("a stream at a runner that stands still moves to another", async (t) => {
  const { seen, calls } = await send(EVENTS, [
    neverAnswers(),
    answers([event(1)]),
  ]);
  t.is(calls.length, 2);
  t.is(seen.text, event(1));
});

test("an answer that does not come is ended at the route's time-out", async (t) => {
  const setup = { ...ONCE, timeoutMilliseconds: 100 };
  const { seen } = await send(setup, [neverAnswers()]);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.TimedOut);
});

// A key that was taken away would still work at an entry that is cut off. Past
// the time for which a configuration is relied on it runs no keyed request, and
// calls no key wrong either, as it may be newer than what it knows.
test("an entry that may be out of date runs no keyed request", async (t) => {
  for (const key of [KEY, "other"]) {
    const { seen, calls } = await send({ proofAge: 4_500, key }, []);
    t.is(calls.length, 0);
    t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  }
});

test("an unknown key is refused by an entry that is up to date", async (t) => {
  const { seen } = await send({ key: "other" }, []);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.UnknownKey);
});

// After a power loss all runners turn requests away while their groups are formed
// anew, for a second or so. Callers come back with their one retry: refused again
// they are lost. The request waits, asks again a few times, and is answered.
test("a request waits for a service that is being formed anew", async (t) => {
  const refused = answers([], { status: 503 });
  const scripts = [...Array<Script>(4).fill(refused), answers(["back"])];
  const { seen, calls } = await send({ retries: 10 }, scripts);
  t.is(seen.text, "back");
  t.is(calls.length, 5);
});

test("a request does not wait for long, and is told when to come back", async (t) => {
  const refused = answers([], { status: 503 });
  const scripts = Array<Script>(50).fill(refused);
  const startedAt = common.now();
  const { seen, calls } = await send({ retries: 50 }, scripts);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true(common.now() - startedAt < 2_000);
  t.true(calls.length < 20);
});

// The caller gives up a confirmation that it may safely send again. Its time runs
// out while it waits for a group that is formed anew; no runner has begun it.
test("time that runs out before any run is told as not run", async (t) => {
  const refused = answers([], { status: 503 });
  const scripts = Array<Script>(50).fill(refused);
  const setup = {
    retries: 50,
    timeoutMilliseconds: 300,
    repeatability: traffic.Repeatability.AtMostOnce,
  };
  const { seen } = await send(setup, scripts);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
});
