import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as answerBuffers from "./answer_buffers.ts";
import * as answerRelay from "./answer_relay.ts";
import * as callerRequest from "./caller_request.ts";
import * as eventSplitter from "./event_splitter.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as runnerClient from "./runner_client.ts";

const test = ava.default;

const MEBIBYTE = 1024 * 1024;
/** More pieces than any bound allows; a reader without bounds would take them all. */
const MANY_PIECES = 8_192;

/** A body of many pieces; counts those that were taken. */
class LongBody {
  taken = 0;

  constructor(readonly piece: Buffer) {}

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer, void, void> {
    for (; this.taken < MANY_PIECES; this.taken++) yield this.piece;
  }
}

function entryWith(
  answerForm: traffic.AnswerForm,
  change: Partial<runnerClient.RunnerAnswer>,
): forwardingFixture.SteppedEntry {
  return new forwardingFixture.SteppedEntry({
    route: { answerForm, repeatability: traffic.Repeatability.AtMostOnce },
    onCall: (call) => call.begin(change),
  });
}

// Guards against bodies without end that fill the memory until the time is over.
test("a body that is held until it is complete is bounded", async (t) => {
  for (const verdict of [
    runnerClient.Verdict.Ran,
    runnerClient.Verdict.Failed,
  ]) {
    const body = new LongBody(Buffer.alloc(MEBIBYTE));
    const entry = entryWith(traffic.AnswerForm.Whole, { verdict, body });
    const sent = entry.send("q");
    await sent.finished;
    t.is(sent.refusal?.kind, callerRequest.RefusalKind.MayHaveRun);
    t.true(body.taken <= 16, `${body.taken} MiB`);
    t.true(sent.calls[0].closed);
  }
});

// Guards against an event without end, and against events without end.
test("a stream is bounded in the bytes of an event and in events", async (t) => {
  for (const piece of ["x".repeat(MEBIBYTE), "x", "\n\n".repeat(1_000)]) {
    const body = new LongBody(Buffer.from(piece));
    const entry = entryWith(traffic.AnswerForm.Events, { body });
    const sent = entry.send("q");
    await sent.finished;
    t.not(sent.ended, "whole", piece.slice(0, 2));
    t.true(body.taken < MANY_PIECES, `${body.taken} pieces`);
    t.true(sent.calls[0].closed);
  }
});

// Guards against an answer that is given up for one that is longer.
test("the longest of the answers that are held is given up for the others", async (t) => {
  const buffers = new answerBuffers.AnswerBuffers();
  const long = Array.from({ length: 5 }, () => buffers.open());
  const short = buffers.open();
  short.push(Buffer.alloc(MEBIBYTE));
  for (let piece = 0; piece < 7; piece++)
    for (const buffer of long) buffer.push(Buffer.alloc(MEBIBYTE));
  t.is(short.problem, undefined);
  t.is(long.filter(({ problem }) => problem !== undefined).length, 1);
  for (const buffer of long) buffer.release();
  const body = new LongBody(Buffer.alloc(4));
  const read = await answerRelay.readCompleteBody(body, buffers, () => {});
  t.is(read._unsafeUnwrap().length, 4 * MANY_PIECES);
});

// Guards against events that are cut, or joined, where pieces meet.
test("events are the same however the stream is cut", (t) => {
  const random = new common.Random(54);
  const text = "id: 1\ndata: a\n\n\n\nid:2\n\ndata: x\ny\n\nrest";
  const whole = new eventSplitter.EventSplitter().push(Buffer.from(text));
  for (let run = 0; run < 500; run++) {
    const splitter = new eventSplitter.EventSplitter();
    const events: eventSplitter.StreamEvent[] = [];
    for (let from = 0; from < text.length;) {
      const to = from + 1 + Math.floor(random.between(0, 5));
      events.push(...splitter.push(Buffer.from(text.slice(from, to))));
      from = to;
    }
    t.deepEqual(events, whole);
    t.is(splitter.pendingBytes, "rest".length);
  }
});

// Guards against small chunks without end at a route whose answers are held: they cost
// as much as a stream may.
test("a call is told the limit of its form of answer", async (t) => {
  const limits = [traffic.AnswerForm.Whole, traffic.AnswerForm.Events].map(
    async (answerForm) => {
      const entry = entryWith(answerForm, {
        body: new LongBody(Buffer.alloc(1)),
      });
      const sent = entry.send("q");
      await sent.finished;
      return sent.calls[0].call.maxBodyBytes / MEBIBYTE;
    },
  );
  t.deepEqual(await Promise.all(limits), [8, 64]);
});
