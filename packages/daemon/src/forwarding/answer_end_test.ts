import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;

/** How much later than its connections the listener of a process may close. */
const LISTENER_DELAY_MILLISECONDS = 15;

/** Sends a request whose first answer ends with its connection after one event. */
async function sendUnframed({
  onEnd = () => {},
  ...setup
}: forwardingFixture.EntrySetup & { onEnd?: () => void }): Promise<
  [forwardingFixture.SteppedEntry, forwardingFixture.SentRequest]
> {
  const entry = new forwardingFixture.SteppedEntry(setup);
  const request = entry.send("q", { promptParts: ["p"] });
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true });
  request.calls[0].send(eventText(1));
  onEnd();
  request.calls[0].end();
  return [entry, request];
}

// Guards against half an answer that passes for a whole one: the process of a runner
// that crashes between two events ends its connections as one that is done.
test("a stream that ends with its connection as its runner crashes is resumed", async (t) => {
  const [entry, request] = await sendUnframed({
    presence: common.Presence.Refused,
  });
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[1].begin();
  request.calls[1].send(eventText(2));
  request.calls[1].end();
  await request.finished;
  t.is(request.text, eventText(1) + eventText(2));
  t.is(request.ended, "whole");
  t.is(entry.crashes.length, 1);
});

test("a stream that ends with its connection at a sound runner is complete", async (t) => {
  const presence = common.Presence.Listening;
  const [entry, request] = await sendUnframed({ presence });
  await request.finished;
  t.is(request.ended, "whole");
  t.is(request.calls.length, 1);
  t.deepEqual(entry.probes, [request.calls[0].runner]);
});

// Guards against half an answer that passes for a whole one where the entry looks
// while the process of the runner ends: its connections end before its listener.
test("a stream is resumed whose runner stops listening a moment after its connections", async (t) => {
  let endedAt = 0;
  const [entry, request] = await sendUnframed({
    presence: async () =>
      common.now() - endedAt > LISTENER_DELAY_MILLISECONDS
        ? common.Presence.Refused
        : common.Presence.Listening,
    onEnd: () => (endedAt = common.now()),
  });
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(request.text, eventText(1));
  t.is(request.ended, "whole");
  t.is(entry.crashes.length, 1);
});

// Guards against half an answer that passes for a whole one where the host of the
// runner goes dark right after its process ended.
test("a stream whose runner gives no word after its end is resumed", async (t) => {
  const presence = common.Presence.Silent;
  const [, request] = await sendUnframed({ presence });
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(request.text, eventText(1));
  t.is(request.ended, "whole");
});

// Guards against a sound answer that is refused since the opening packet of one look
// was lost.
test("a look without an answer is made a second time", async (t) => {
  let looks = 0;
  const [entry, request] = await sendUnframed({
    presence: () =>
      ++looks === 1
        ? new Promise(() => {})
        : Promise.resolve(common.Presence.Listening),
  });
  await request.finished;
  t.is(request.ended, "whole");
  t.is(request.calls.length, 1);
  t.is(entry.probes.length, 2);
});

/** A stream that ends with its connection at a runner that said that it leaves. */
async function sendToLeaving(
  presence: common.Presence,
): Promise<[forwardingFixture.SteppedEntry, forwardingFixture.SentRequest]> {
  const entry = new forwardingFixture.SteppedEntry({ presence });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true, leaving: true });
  request.calls[0].send(eventText(1));
  request.calls[0].end();
  return [entry, request];
}

// Guards against a sound answer that is broken off since its runner leaves as planned.
test("the end of an answer counts at a runner that leaves and still listens", async (t) => {
  const [entry, request] = await sendToLeaving(common.Presence.Listening);
  await request.finished;
  t.is(request.ended, "whole");
  t.is(request.calls.length, 1);
  t.deepEqual(entry.probes, [request.calls[0].runner]);
});

// Guards against half an answer that passes for a whole one: the process of a runner
// that leaves as planned exits before it has finished, and the look was left out.
test("a stream that ends as its leaving runner exits is resumed", async (t) => {
  const [entry, request] = await sendToLeaving(common.Presence.Refused);
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[1].begin();
  request.calls[1].send(eventText(2));
  request.calls[1].end();
  await request.finished;
  t.is(request.text, eventText(1) + eventText(2));
  t.is(request.ended, "whole");
  // A planned exit is no crash.
  t.is(entry.crashes.length, 0);
});

// The same for a runner that is no longer listed.
test("a stream that ends as its runner exits that is no longer listed is resumed", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({
    presence: common.Presence.Refused,
    runners: ["i-1"],
  });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true });
  request.calls[0].send(eventText(1));
  entry.list([forwardingFixture.createRunner("i-2")]);
  request.calls[0].end();
  await until(() => request.calls.length === 2);
  t.is(request.calls[1].runner, "i-2");
  t.is(request.calls[1].call.resumeAfter, "1");
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(request.ended, "whole");
});

test("an answer with a length needs no look at its runner", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin();
  request.calls[0].end();
  await request.finished;
  t.deepEqual(entry.probes, []);
});

test("a whole answer that ends as its runner crashes is not passed on", async (t) => {
  const [, request] = await sendUnframed({
    presence: common.Presence.Refused,
    route: {
      answerForm: traffic.AnswerForm.Whole,
      repeatability: traffic.Repeatability.AtMostOnce,
    },
  });
  await request.finished;
  t.is(request.ended, "refused");
  t.is(request.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

/** Time in which a runner may end and come back as a new incarnation. */
const RESTART_MILLISECONDS = 600;

/** Holds up the event loop for as long as a runner takes to come back. */
function holdUpEventLoop(): void {
  const end = common.now() + RESTART_MILLISECONDS;
  while (common.now() < end);
}

/** Sends a request whose first answer ends while its entry reads nothing. */
async function sendUnread(
  readNothing: (
    request: forwardingFixture.SentRequest,
    endAnswer: () => void,
  ) => void | Promise<void>,
): Promise<[forwardingFixture.SteppedEntry, forwardingFixture.SentRequest]> {
  const entry = new forwardingFixture.SteppedEntry({});
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true });
  request.calls[0].send(eventText(1));
  await until(() => request.text === eventText(1));
  await readNothing(request, () => request.calls[0].end());
  await until(() => entry.probes.length === 1);
  return [entry, request];
}

const UNREAD: Record<string, Parameters<typeof sendUnread>[0]> = {
  "while its entry stood still": (_request, endAnswer) => {
    endAnswer();
    holdUpEventLoop();
  },
  "while its caller took nothing": async (request, endAnswer) => {
    request.blocked = true;
    request.calls[0].send(eventText(2));
    endAnswer();
    const end = common.now() + RESTART_MILLISECONDS;
    await until(() => common.now() > end);
    request.blocked = false;
  },
};

for (const [name, readNothing] of Object.entries(UNREAD)) {
  // Guards against a part of a stream that passes for the whole one: its runner crashed,
  // and listened again as a new incarnation by the time the entry read the end.
  test(`a stream that ended ${name} is resumed if its runner was replaced`, async (t) => {
    const [entry, request] = await sendUnread(readNothing);
    const [{ call, runner }] = request.calls;
    const other = runner === "i-1" ? "i-2" : "i-1";
    entry.list([
      { ...call.runner, bornAt: call.runner.bornAt + 1 },
      forwardingFixture.createRunner(other),
    ]);
    await until(() => request.calls.length === 2);
    const { resumeAfter } = request.calls[1].call;
    request.calls[1].begin();
    request.calls[1].end();
    await request.finished;
    t.is(resumeAfter, String(request.text.split("id: ").length - 1));
    t.is(request.ended, "whole");
  });

  // Guards against a sound answer that is broken off after each hold-up.
  test(`a stream that ended ${name} is complete if its runner is the same`, async (t) => {
    const [entry, request] = await sendUnread(readNothing);
    t.is(request.ended, "");
    entry.list(["i-1", "i-2"].map(forwardingFixture.createRunner));
    await request.finished;
    t.is(request.ended, "whole");
    t.is(request.calls.length, 1);
  });
}

// Guards against sound answers that wait for a runner list since their runners were
// silent for long before their end.
test("an answer that ends after a long silence of its runner waits for no list", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ runners: ["i-1"] });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true });
  const end = common.now() + RESTART_MILLISECONDS;
  await until(() => common.now() > end);
  request.calls[0].send(eventText(1));
  request.calls[0].end();
  await request.finished;
  t.is(request.ended, "whole");
});

// Guards against sound answers that wait for a runner list, or are refused without one,
// since the event loop was held up long before their end.
test("an answer that ends some time after a hold-up of its entry waits for no list", async (t) => {
  const entry = new forwardingFixture.SteppedEntry({ runners: ["i-1"] });
  const request = entry.send("q");
  await until(() => request.calls.length === 1);
  request.calls[0].begin({ endsWithConnection: true });
  request.calls[0].send(eventText(1));
  await until(() => request.text === eventText(1));
  holdUpEventLoop();
  const end = common.now() + RESTART_MILLISECONDS;
  await until(() => common.now() > end);
  request.calls[0].end();
  await request.finished;
  t.is(request.ended, "whole");
});
