import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";
import * as callerRequest from "./caller_request.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as hedgedAttempts from "./hedged_attempts.ts";
import type * as runnerAttempt from "./runner_attempt.ts";
import * as runnerClient from "./runner_client.ts";

const test = ava.default;

const TIMEOUT_MILLISECONDS = 200;
const LATE_MILLISECONDS = 500;
const FAILURE = new Error("broken invariant");

/** A client whose first call is silent, and whose second one fails by an exception. */
function createClient(
  calls: runnerClient.RunnerCall[],
): runnerClient.RunnerClient {
  return {
    presenceOf: async () => common.Presence.Listening,
    call: (call) => {
      calls.push(call);
      if (calls.length > 1) return Promise.reject(FAILURE);
      return new Promise((resolve) => {
        const kind = runnerClient.CallFailureKind.Unknown;
        const ended = neverthrow.err({ kind, reason: "aborted" });
        call.signal.addEventListener("abort", () => resolve(ended));
      });
    },
  };
}

// Guards against an attempt that throws and keeps its place at the runner for good.
test("an attempt that throws gives back what was counted, and ends the others", async (t) => {
  const calls: runnerClient.RunnerCall[] = [];
  const entry = new forwardingFixture.SteppedEntry({
    route: { answerForm: traffic.AnswerForm.Whole },
    runnerClient: createClient(calls),
  });
  const { finished } = entry.send("q");
  await t.throwsAsync(finished, { is: FAILURE });
  t.is(calls.length, 2);
  t.true(calls[0].signal.aborted);
  t.is(entry.forwarder.underWay, 0);
  for (const runner of ["i-1", "i-2"])
    t.is(entry.tracker.outstandingAt(runner), 0, runner);
});

// Guards against a request that waits for a call which never settles.
test("a call that does not end when it is cancelled delays no final answer", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    route: { timeoutMilliseconds: TIMEOUT_MILLISECONDS },
    runnerClient: {
      presenceOf: async () => common.Presence.Listening,
      call: () => new Promise(() => {}),
    },
  });
  const startedAt = common.now();
  const sent = entry.send("q");
  await sent.finished;
  const took = common.now() - startedAt;
  t.is(sent.refusal?.kind, callerRequest.RefusalKind.TimedOut);
  t.true(took < TIMEOUT_MILLISECONDS + LATE_MILLISECONDS, `${took} ms`);
  t.is(
    entry.tracker.outstandingAt("i-1") + entry.tracker.outstandingAt("i-2"),
    0,
  );
});

// Guards against an exception that nobody hears: its request was answered meanwhile.
test("a search for another runner that fails after the answer is told", async (t) => {
  let failSearch = (_cause: Error) => {};
  let endAttempt = (_outcome: attemptOutcome.AttemptOutcome) => {};
  const told: unknown[] = [];
  const attempt = {
    isSuperseded: false,
    hasStalled: () => true,
    supersede: () => {},
    run: () => new Promise((resolve) => (endAttempt = resolve)),
  } as unknown as runnerAttempt.RunnerAttempt;
  const hedged = new hedgedAttempts.HedgedAttempts({
    createAttempt: () => attempt,
    onEnd: () => {},
    secureAnother: () =>
      new Promise((_resolve, reject) => (failSearch = reject)),
    charge: () => true,
    onLateFailure: (cause) => told.push(cause),
  });
  const running = hedged.run({} as hedgedAttempts.SecuredRunner);
  const hedging = hedged.hedge();
  endAttempt(attemptOutcome.NO_RUNNER);
  t.is(await running, attemptOutcome.NO_RUNNER);
  failSearch(FAILURE);
  await hedging;
  t.deepEqual(told, [FAILURE]);
});
