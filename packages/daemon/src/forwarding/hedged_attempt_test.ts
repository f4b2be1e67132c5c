import * as ava from "ava";
import * as traffic from "@geraniumkeel/traffic";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;
const WHOLE = { answerForm: traffic.AnswerForm.Whole };

function texts(...numbers: number[]): string {
  return numbers.map(eventText).join("");
}

// Two streams stall in the same moment while the budget allows one retry. Both
// attempts were given up before one of them paid; the other stream was broken
// off although its runner went on a moment later.
test.failing(
  "of two stalled streams with budget for one, neither is cut off",
  async (t) => {
    const entry = new forwardingFixture.SteppedEntry({
      runners: ["i-1", "i-2", "i-3"],
      retries: 1,
    });
    const requests = ["q-1", "q-2"].map((name) => entry.send(name));
    await until(() => requests.every(({ calls }) => calls.length === 1));
    for (const { calls } of requests) {
      calls[0].begin();
      calls[0].send(eventText(1));
    }
    await until(() => requests.some(({ calls }) => calls.length > 1));
    for (const { calls } of requests) {
      calls[0].send(eventText(2));
      calls[0].end();
    }
    await Promise.all(requests.map(({ finished }) => finished));
    for (const { text, ended } of requests) {
      t.is(text, texts(1, 2));
      t.is(ended, "whole");
    }
    const calls = requests.flatMap((request) => request.calls);
    t.is(calls.length, 3);
    t.true(entry.budget.balance < 1);
  },
);

// A runner is silent for a moment, and the other runner is full. The first
// attempt was given up before the other runner was asked, so the caller got an
// answer that broke off.
test.failing(
  "a stream goes on at its silent runner if the other runner refuses",
  async (t) => {
    const entry = new forwardingFixture.SteppedEntry({});
    const request = entry.send("q");
    await until(() => request.calls.length === 1);
    request.calls[0].begin();
    request.calls[0].send(eventText(1));
    await until(() => request.calls.length === 2);
    request.calls[1].refuse();
    request.calls[0].send(eventText(2));
    request.calls[0].end();
    await request.finished;
    t.is(request.text, texts(1, 2));
    t.is(request.ended, "whole");
    t.deepEqual(entry.attemptEnds("q"), ["answered", "not-run"]);
  },
);

// The runner of a request whose answer is due at once takes longer than usual,
// and the other runner is full. The caller got 502 although the first runner
// finished its work.
test.failing(
  "a late complete answer is given if the other runner refuses",
  async (t) => {
    const entry = new forwardingFixture.SteppedEntry({ route: WHOLE });
    const request = entry.send("q");
    await until(() => request.calls.length === 2);
    request.calls[1].refuse();
    request.calls[0].begin();
    request.calls[0].send("done");
    request.calls[0].end();
    await request.finished;
    t.is(request.text, "done");
    t.is(request.ended, "whole");
  },
);

// Both runners are silent for longer than the stall timeout. The first was
// given up, so its events were lost when it went on before the second.
test.failing(
  "a stream goes on at its first runner if the second is silent too",
  async (t) => {
    const entry = new forwardingFixture.SteppedEntry({});
    const request = entry.send("q");
    await until(() => request.calls.length === 1);
    request.calls[0].begin();
    request.calls[0].send(eventText(1));
    await until(() => request.calls.length === 2);
    t.is(request.calls[1].call.resumeAfter, "1");
    request.calls[0].send(eventText(2));
    await until(() => request.calls[1].aborted);
    request.calls[0].send(eventText(3));
    request.calls[0].end();
    await request.finished;
    t.is(request.text, texts(1, 2, 3));
    t.is(request.ended, "whole");
  },
);
