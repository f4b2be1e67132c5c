import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as neverthrow from "neverthrow";
import * as urgencyAdmission from "../admission/urgency_admission.ts";
import * as retryBudget from "../dispatch/retry_budget.ts";
import * as crashDetector from "../quarantine/crash_detector.ts";
import * as quarantineFixture from "../quarantine/quarantine_fixture.ts";
import * as runnerRests from "../runner_rest/runner_rests.ts";
import * as rateLimitsFixture from "../rate_limit/rate_limits_fixture.ts";
import * as plannedStop from "../shutdown/planned_stop.ts";
import * as plannedStopFixture from "../shutdown/planned_stop_fixture.ts";
import * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as forwarderModule from "./forwarder.ts";
import * as runnerTracker from "./runner_tracker.ts";
import * as runnerClientModule from "./runner_client.ts";

const test = ava.default;

const KEY = "k";

/** Simulates one call to a runner. */
type Script = (
  call: runnerClientModule.RunnerCall,
) => Promise<
  neverthrow.Result<
    runnerClientModule.RunnerAnswer,
    runnerClientModule.CallFailure
  >
>;

/** What the caller of a request received. */
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
  /** Timeout that the caller states; 0 for none. */
  requestMilliseconds?: number;
  stop?: plannedStop.PlannedStop;
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
    services: [{ name: "s", engine: undefined, warmUpRequestsPerSecond: 0 }],
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
    rateLimitWaitOf: () => 0,
    restOf: () => 0,
    isEvacuated: () => false,
    inLockStep: () => false,
  });
  const runners = ["i-1", "i-2"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: index + 1 }),
  );
  tracker.update({ version: 1, runners });
  return tracker;
}

/** Sends one request to runners whose calls follow the scripts, in order. */
async function send(
  setup: Setup,
  scripts: Script[],
): Promise<{
  seen: CallerView;
  calls: runnerClientModule.RunnerCall[];
  tracker: runnerTracker.RunnerTracker;
}> {
  const calls: runnerClientModule.RunnerCall[] = [];
  const tracker = trackerOfTwo();
  const presenceOf = async () => common.Presence.Listening;
  const logger = new common.RecordingLogger();
  const configuration = configurationOf(setup);
  const metrics = common.discardMetrics();
  const forwarder = new forwarderModule.Forwarder({
    bounds: forwardingFixture.ANSWER_BOUNDS,
    configuration,
    admission: new urgencyAdmission.UrgencyAdmission({
      onFailure: (cause) => {
        throw cause;
      },
      configuration,
      tracker,
      entryCount: () => 1,
      metrics,
    }),
    proofAge: () => configuration.age,
    maxProofAgeMilliseconds: 4_000,
    tracker,
    runners: new traffic.ProvenValue(),
    runnerClient: {
      presenceOf,
      call: (call) => {
        calls.push(call);
        return scripts[calls.length - 1](call);
      },
    },
    budgetOf: () => budget,
    quarantine: quarantineFixture.createQuarantine(),
    crashDetector: new crashDetector.CrashDetector({
      presenceOf,
      inUse: (runner) => tracker.inUse(runner),
      crashTimeOf: () => undefined,
      onCrash: () => {},
    }),
    onAnswerStart: () => {},
    onLeaving: () => {},
    rests: new runnerRests.RunnerRests({
      logger,
      metrics: common.discardMetrics(),
    }),
    rateLimits: rateLimitsFixture.createRateLimits(),
    stop: setup.stop ?? plannedStopFixture.createPlannedStop(),
    retryElsewhereMilliseconds: () => 50,
    random: new common.Random(2),
    logger,
    metrics: common.discardMetrics(),
  });
  const retries = setup.retries ?? 5;
  const budget = new retryBudget.RetryBudget({
    earnedPerRequest: 0,
    maxBalance: retries,
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
      timeoutMilliseconds: setup.requestMilliseconds ?? 4_000,
      resumeAfter: "",
      promptParts: [],
      arrivedAt: common.instant(),
    },
    recordingSink(seen),
  );
  return { seen, calls, tracker };
}

function recordingSink(seen: CallerView): callerRequest.AnswerSink {
  return {
    disconnected: new AbortController().signal,
    answer: async (head, body) => {
      seen.status = head.status;
      seen.text += body.toString();
      seen.ended = "whole";
      return true;
    },
    begin: (head) => (seen.status = head.status),
    write: async (piece) => {
      seen.text += piece.toString();
    },
    end: async () => {
      seen.ended = "whole";
      return true;
    },
    abort: () => (seen.ended = "broken"),
    refuse: async (refusal) => {
      seen.refusal = refusal;
      seen.ended = "refused";
      return true;
    },
  };
}

function answers(
  pieces: string[],
  options: { truncated?: boolean; status?: number; signed?: boolean } = {},
): Script {
  async function* body(): AsyncGenerator<Buffer, void, void> {
    for (const piece of pieces) yield Buffer.from(piece);
    if (options.truncated) throw new common.TruncatedBody("reset");
  }
  const status = options.status ?? 200;
  const verdict =
    status === 200
      ? runnerClientModule.Verdict.Ran
      : status === 503
        ? runnerClientModule.Verdict.NotRun
        : runnerClientModule.Verdict.Failed;
  return async () =>
    neverthrow.ok({
      verdict,
      head: { status, headers: [] },
      signed: options.signed ?? true,
      rateLimit: undefined,
      retryAfter: undefined,
      endsWithConnection: false,
      leaving: false,
      body: body(),
      close: () => {},
    });
}

function misdirected(verdict: runnerClientModule.Verdict): Script {
  const answer = answers([], { status: 421 });
  return async (call) =>
    (await answer(call)).map((one) => ({ ...one, verdict }));
}

function failsWith(kind: runnerClientModule.CallFailureKind): Script {
  return async () => neverthrow.err({ kind, reason: "reset" });
}

/** Never answers; fails when the call is aborted. */
function neverAnswers(): Script {
  return (call) =>
    new Promise((resolve) => {
      call.signal.addEventListener("abort", () => {
        const kind = runnerClientModule.CallFailureKind.Unknown;
        resolve(neverthrow.err({ kind, reason: "aborted" }));
      });
    });
}

const event = (number: number) => `id: ${number}\ndata: x\n\n`;
const EVENTS = { answerForm: traffic.AnswerForm.Events };
const ONCE = { repeatability: traffic.Repeatability.AtMostOnce };

test("a complete answer is relayed unchanged", async (t) => {
  const { seen } = await send({}, [answers(["he", "llo"])]);
  t.is(seen.text, "hello");
  t.is(seen.ended, "whole");
});

// The connection to the runner is reset after the request was sent, so the
// request may have run. A retry could confirm a delivery twice. No other runner
// gets the request, and the caller learns that it may have run.
test("an at-most-once request that may have run is not retried", async (t) => {
  const { seen, calls } = await send(ONCE, [
    failsWith(runnerClientModule.CallFailureKind.Unknown),
  ]);
  t.is(calls.length, 1);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

test("a request that certainly did not run goes to another runner", async (t) => {
  for (const first of [
    answers([], { status: 503 }),
    failsWith(runnerClientModule.CallFailureKind.NotSent),
  ]) {
    const { seen, calls } = await send(ONCE, [first, answers(["done"])]);
    t.not(calls[0].runner.identifier, calls[1].runner.identifier);
    t.is(seen.text, "done");
  }
});

// Callers rely on the refusal "not run". It is true only if no runner ran the
// request.
test("a refusal says not-run only if no attempt may have run", async (t) => {
  const refused = answers([], { status: 503 });
  const both = await send(ONCE, Array<Script>(50).fill(refused));
  t.is(both.seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true((both.seen.refusal?.retryAfterMilliseconds ?? 0) > 0);
  const doubt = await send({}, [
    failsWith(runnerClientModule.CallFailureKind.Unknown),
    ...Array<Script>(50).fill(refused),
  ]);
  t.is(doubt.seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

// When many requests fail at the same time, retries would multiply the load
// that made them fail.
test("without retry budget no request is retried", async (t) => {
  const setup = { retries: 0 };
  const { calls } = await send(setup, [answers([], { status: 503 })]);
  t.is(calls.length, 1);
});

test("an unsigned success is not relayed", async (t) => {
  const { seen } = await send(ONCE, [answers(["x"], { signed: false })]);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
  t.is(seen.text, "");
});

test("a runner's own failure is relayed unchanged", async (t) => {
  const { seen } = await send(ONCE, [answers(["why"], { status: 500 })]);
  t.is(seen.status, 500);
  t.is(seen.text, "why");
});

// The first attempt stops in the middle of its third event; the second
// continues after the second event. The caller sees one stream without a gap.
test("a truncated stream continues at another runner after its last event", async (t) => {
  const { seen, calls } = await send(EVENTS, [
    answers([event(1), event(2), "id: 3\nda"], { truncated: true }),
    answers([event(3), event(4)]),
  ]);
  t.is(calls[1].resumeAfter, "2");
  t.is(seen.text, [1, 2, 3, 4].map(event).join(""));
  t.is(seen.ended, "whole");
});

// An attempt that continued at the wrong event would give the caller a stream
// that lacks an event but looks complete. The entry breaks the stream off, and
// the caller can ask again.
test("a stream with a gap is broken off", async (t) => {
  const { seen } = await send(EVENTS, [
    answers([event(1), event(2)], { truncated: true }),
    answers([event(4)]),
  ]);
  t.is(seen.text, [1, 2].map(event).join(""));
  t.is(seen.ended, "broken");
});

// When a group loses a rank, none of its ranks sends anything for one to two
// seconds. The caller gets its first event from another group before its
// timeout.
test("a stream at a stalled runner moves to another runner", async (t) => {
  const { seen, calls } = await send(EVENTS, [
    neverAnswers(),
    answers([event(1)]),
  ]);
  t.is(calls.length, 2);
  t.is(seen.text, event(1));
});

test("a request without an answer is refused at the route's timeout", async (t) => {
  const setup = { ...ONCE, timeoutMilliseconds: 100 };
  const { seen } = await send(setup, [neverAnswers()]);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.TimedOut);
});

// At an entry that is cut off, a revoked key would still work. Once the
// configuration's proof is too old, the entry runs no request that needs a key.
// Nor does it call a key unknown, because the key may be newer than the
// configuration.
test("an entry whose configuration may be outdated runs no request that needs a key", async (t) => {
  for (const key of [KEY, "other"]) {
    const { seen, calls } = await send({ proofAge: 4_500, key }, []);
    t.is(calls.length, 0);
    t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  }
});

test("an entry with an up-to-date configuration refuses an unknown key", async (t) => {
  const { seen } = await send({ key: "other" }, []);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.UnknownKey);
});

// After a power loss all runners refuse requests for about a second while their
// groups are re-formed. Callers retry only once, so a second refusal is final.
// The request waits, tries again a few times, and is answered.
test("a request waits for a service whose group is being re-formed", async (t) => {
  const refused = answers([], { status: 503 });
  const scripts = [...Array<Script>(4).fill(refused), answers(["back"])];
  const { seen, calls } = await send({ retries: 10 }, scripts);
  t.is(seen.text, "back");
  t.is(calls.length, 5);
});

test("a request waits for a limited time with few attempts, then is refused", async (t) => {
  const refused = answers([], { status: 503 });
  const scripts = Array<Script>(50).fill(refused);
  const startedAt = common.now();
  const { seen, calls } = await send({ retries: 50 }, scripts);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true(common.now() - startedAt < 2_000);
  t.true(calls.length < 20);
});

// A confirmation runs out of time while it waits for a group that is being
// re-formed. No runner has begun it, so the caller may safely send it again,
// and must learn so.
test("a request that runs out of time before any attempt ran is refused as not-run", async (t) => {
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

// Guards against requests that a stopping entry takes and can't finish.
test("a stopping entry refuses at once what may outlast it", async (t) => {
  const stop = plannedStopFixture.createPlannedStop();
  stop.start();
  const setup = { stop, timeoutMilliseconds: 60_000, requestMilliseconds: 0 };
  const { seen, calls } = await send(setup, []);
  t.is(calls.length, 0);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.is(seen.refusal?.retryAfterMilliseconds, 50);
});

test("a stopping entry serves what ends before it", async (t) => {
  const stop = plannedStopFixture.createPlannedStop();
  stop.start();
  const { seen } = await send({ stop }, [answers(["whole"])]);
  t.is(seen.text, "whole");
});

// Guards against requests that wait for a runner until their entry is gone.
test("a waiting request is refused when its entry begins to stop", async (t) => {
  const stop = plannedStopFixture.createPlannedStop();
  const refused = answers([], { status: 503 });
  const setup = { stop, timeoutMilliseconds: 60_000, requestMilliseconds: 0 };
  const waiting = send(
    { ...setup, retries: 50 },
    Array<Script>(50).fill(refused),
  );
  stop.start();
  const { seen, calls } = await waiting;
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.NotRun);
  t.true(calls.length < 3);
});

// Guards against a kill that ends requests of which the caller learns nothing.
test("a request that outlasts its entry is answered before the kill", async (t) => {
  const lifeCycle = new common.LifeCycle("test");
  const stop = new plannedStop.PlannedStop({
    graceMilliseconds: 400,
    lifeCycle,
  });
  let aborted = false;
  const hanging: Script = (call) =>
    new Promise((resolve) => {
      call.signal.addEventListener("abort", () => {
        aborted = true;
        const kind = runnerClientModule.CallFailureKind.Unknown;
        resolve(neverthrow.err({ kind, reason: "aborted" }));
      });
      stop.start();
    });
  const { seen } = await send({ stop }, [hanging]);
  t.true(aborted);
  t.is(seen.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

// Requests that expect another version of the weights end a service at an entry, if the
// runners that refuse them are taken for ones that are no longer there.
test("a runner that does not suit one request still gets others", async (t) => {
  const { Unsuitable, WrongRunner } = runnerClientModule.Verdict;
  const unsuitable = misdirected(Unsuitable);
  const { calls, tracker } = await send({}, [unsuitable, unsuitable]);
  t.is(calls.length, 2);
  t.is(tracker.runners().length, 2);
  const replaced = misdirected(WrongRunner);
  const other = await send({}, [replaced, replaced]);
  t.is(other.tracker.runners().length, 0);
});
