import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as answerBuffers from "./answer_buffers.ts";
import * as answerDeliveries from "./answer_deliveries.ts";
import * as answerRelay from "./answer_relay.ts";
import * as callerRequest from "./caller_request.ts";
import * as eventSplitter from "./event_splitter.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as runnerClient from "./runner_client.ts";

const test = ava.default;

const MEBIBYTE = 1024 * 1024;
/** More pieces than any bound allows; a reader without bounds would take them all. */
const MANY_PIECES = 8_192;

const LONG_BYTES = 7 * MEBIBYTE;
const SHORT_BYTES = 1_024;
const SLOW_CALLERS = 16;
/** What callers may hold of a process's memory. */
const MAX_WAITING_BYTES = 64 * MEBIBYTE;
/** Longer than it takes to read all answers, shorter than callers stay blocked. */
const SLOW_TIMEOUT_MILLISECONDS = 2_000;

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
  const buffers = new answerBuffers.AnswerBuffers(
    forwardingFixture.ANSWER_BOUNDS,
  );
  const long = Array.from({ length: 5 }, () => buffers.open());
  const short = buffers.open();
  short.push(Buffer.alloc(MEBIBYTE));
  for (let piece = 0; piece < 7; piece++)
    for (const buffer of long) buffer.push(Buffer.alloc(MEBIBYTE));
  t.is(short.problem, undefined);
  t.is(long.filter(({ problem }) => problem !== undefined).length, 1);
  for (const buffer of long) buffer.release();
  const body = new LongBody(Buffer.alloc(4));
  const buffer = buffers.open();
  t.is(await answerRelay.collect(body, buffer, () => {}), undefined);
  t.is(buffer.join().length, 4 * MANY_PIECES);
});

// Guards against many streams that each hold an event without end, within its bound.
test("the longest of the events that are held is given up for the others", (t) => {
  const buffers = new answerBuffers.AnswerBuffers(
    forwardingFixture.ANSWER_BOUNDS,
  );
  const counts = Array.from({ length: 40 }, () => buffers.openCount());
  counts.forEach((count, index) => count.set((index + 1) * 39 * 1_024));
  t.true(counts.every(({ problem }) => problem === undefined));
  const answer = buffers.open();
  answer.push(Buffer.alloc(MEBIBYTE));
  t.is(
    counts.findIndex(({ problem }) => problem !== undefined),
    39,
  );
  t.true(counts[39].dropped.aborted);
  t.is(answer.problem, undefined);
});

/**
 * An entry with callers that take nothing of their long answers; resolves when
 * all the answers were read from their runners.
 */
async function entryWithSlowCallers(t: ava.ExecutionContext): Promise<{
  entry: forwardingFixture.SteppedEntry;
  slow: forwardingFixture.SentRequest[];
}> {
  let read = 0;
  async function* bodyOf(bytes: number): AsyncGenerator<Buffer, void, void> {
    yield Buffer.alloc(bytes, "x");
    read++;
  }
  const entry = new forwardingFixture.SteppedEntry({
    route: {
      answerForm: traffic.AnswerForm.Whole,
      repeatability: traffic.Repeatability.AtMostOnce,
    },
    slots: SLOW_CALLERS,
    onCall: (call) => {
      const isShort = call.call.request.identifier === "short";
      call.begin({ body: bodyOf(isShort ? SHORT_BYTES : LONG_BYTES) });
    },
  });
  const slow: forwardingFixture.SentRequest[] = [];
  t.teardown(() => slow.forEach((sent) => (sent.blocked = false)));
  while (slow.length < SLOW_CALLERS) {
    const sent = entry.send(`slow-${slow.length}`, {
      timeoutMilliseconds: SLOW_TIMEOUT_MILLISECONDS,
    });
    sent.blocked = true;
    slow.push(sent);
    await forwardingFixture.until(() => read === slow.length);
  }
  return { entry, slow };
}

function isHeld({ heldBytes }: forwardingFixture.SentRequest): boolean {
  return heldBytes > 0;
}

// Guards against complete answers that slow callers have not taken: without a bound they
// filled the memory of the process, and all its requests were lost with it.
test("answers that wait for their callers are bounded, and leave room for short ones", async (t) => {
  const { entry, slow } = await entryWithSlowCallers(t);
  const held = slow.filter(isHeld);
  t.true(held.length >= 4, `${held.length} answers`);
  t.true(held.length * LONG_BYTES <= MAX_WAITING_BYTES, `${held.length}`);
  const short = entry.send("short");
  await short.finished;
  t.is(short.ended, "whole");
  const others = slow.filter((sent) => !held.includes(sent));
  await Promise.all(others.map(({ finished }) => finished));
  for (const { ended } of others) t.is(ended, "refused");
  for (const sent of held) sent.blocked = false;
  await Promise.all(held.map(({ finished }) => finished));
  for (const { ended, text } of held) {
    t.is(ended, "whole");
    t.is(text.length, LONG_BYTES);
  }
});

// Guards against an answer that waits for memory and is not passed on when there is some.
test("an answer waits until others were taken", async (t) => {
  const { slow } = await entryWithSlowCallers(t);
  const waiting = slow.filter((sent) => !isHeld(sent) && sent.ended === "");
  t.true(waiting.length > 0);
  for (const sent of slow) sent.blocked = false;
  await Promise.all(slow.map(({ finished }) => finished));
  for (const { ended } of waiting) t.is(ended, "whole");
});

// Guards against memory that is never given back: a head that the caller's connection
// refuses throws as the delivery begins.
test("a delivery that throws or is rejected gives its memory back", async (t) => {
  const deliveries = new answerDeliveries.AnswerDeliveries(
    forwardingFixture.ANSWER_BOUNDS.deliveryBytes,
  );
  const failure = new Error("broken invariant");
  const begins = [
    () => {
      throw failure;
    },
    () => Promise.reject(failure),
  ];
  for (const begin of begins) {
    const release = deliveries.reserve(MAX_WAITING_BYTES / 2);
    if (!release) return t.fail("no memory");
    await t.throwsAsync(async () =>
      answerDeliveries.AnswerDeliveries.deliver(release, begin),
    );
  }
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
