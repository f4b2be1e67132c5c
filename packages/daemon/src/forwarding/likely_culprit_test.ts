import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";

const test = ava.default;

const { eventText, until } = forwardingFixture;

/** Sends a request whose first runner ends its connection after `answer`. */
async function sendOnce(
  answer: (call: forwardingFixture.SteppedCall) => void,
  presence = common.Presence.Refused,
): Promise<forwardingFixture.SentRequest> {
  const entry = new forwardingFixture.SteppedEntry({ presence });
  const request = entry.send("q", { promptParts: ["p"] });
  await until(() => request.calls.length === 1);
  answer(request.calls[0]);
  // The body is read before its connection ends.
  await common.sleep(0);
  request.calls[0].breakOff();
  return request;
}

// Guards against a request that crashes one runner after the other within one attempt of
// its caller.
test("a request whose answer had begun when its runner crashed is not sent on", async (t) => {
  const request = await sendOnce((call) => call.begin());
  await request.finished;
  t.is(request.calls.length, 1);
  t.is(request.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
});

test("a request that waited, or whose answer had content, is sent on after a crash", async (t) => {
  const waiting = await sendOnce(() => {});
  await until(() => waiting.calls.length === 2);
  const writing = await sendOnce((call) => {
    call.begin();
    call.send(eventText(1));
  });
  await until(() => writing.calls.length === 2);
  t.is(writing.calls[1].call.resumeAfter, "1");
  for (const { calls } of [waiting, writing]) {
    calls[1].begin();
    calls[1].end();
  }
  await Promise.all([waiting.finished, writing.finished]);
});

test("a request whose answer a sound runner broke off as it began is sent on", async (t) => {
  const { Listening } = common.Presence;
  const request = await sendOnce((call) => call.begin(), Listening);
  await until(() => request.calls.length === 2);
  request.calls[1].begin();
  request.calls[1].end();
  await request.finished;
  t.is(request.ended, "whole");
});
