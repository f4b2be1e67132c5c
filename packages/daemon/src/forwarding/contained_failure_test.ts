import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as neverthrow from "neverthrow";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as runnerClient from "./runner_client.ts";

const test = ava.default;

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
