import * as ava from "ava";
import * as answerBuffers from "./answer_buffers.ts";
import * as attemptOutcome from "./attempt_outcome.ts";
import type * as callerRequest from "./caller_request.ts";
import * as forwardingFixture from "./forwarding_fixture.ts";
import * as failureAnswers from "./failure_answers.ts";

const test = ava.default;

const MEBIBYTE = 1024 * 1024;

/** A runner's failure with a body of that many mebibytes, held for one request. */
function createFailure(
  buffers: answerBuffers.AnswerBuffers,
  mebibytes: number,
) {
  const failures = new failureAnswers.FailureAnswers(buffers);
  const body = failures.open();
  for (let piece = 0; piece < mebibytes; piece++)
    body.push(Buffer.alloc(MEBIBYTE));
  const kind = attemptOutcome.AttemptOutcomeKind.Failed;
  const failure = { head: { status: 500, headers: [] }, body };
  return { failures, outcome: { kind, reason: "", failure } };
}

/** A caller that takes all; tells the lengths of the bodies that it got. */
function createSink() {
  const lengths: number[] = [];
  const answer = async (_head: unknown, body: Buffer) => {
    lengths.push(body.length);
    return true;
  };
  return { lengths, sink: { answer } as unknown as callerRequest.AnswerSink };
}

test("a failure is delivered whole", async (t) => {
  const buffers = new answerBuffers.AnswerBuffers(
    forwardingFixture.ANSWER_BOUNDS,
  );
  const { failures, outcome } = createFailure(buffers, 2);
  const { sink, lengths } = createSink();
  t.true(await failures.deliver(outcome, sink));
  t.deepEqual(lengths, [2 * MEBIBYTE]);
});

// Guards against failures' bodies that fill the memory while their requests are retried.
test("held failures count, and the longest is told by its kind alone", (t) => {
  const buffers = new answerBuffers.AnswerBuffers(
    forwardingFixture.ANSWER_BOUNDS,
  );
  const long = createFailure(buffers, 7);
  const others = Array.from({ length: 5 }, () => createFailure(buffers, 6));
  const { sink, lengths } = createSink();
  t.is(long.failures.deliver(long.outcome, sink), undefined);
  t.deepEqual(lengths, []);
  t.true(others.every(({ outcome }) => !outcome.failure.body.problem));
});

// Guards against bytes that count for good: an attempt that was given up read on after its
// request was over, and in time sound answers were given up for what nobody held.
test("what is read after a request is over counts for nothing", (t) => {
  const buffers = new answerBuffers.AnswerBuffers(
    forwardingFixture.ANSWER_BOUNDS,
  );
  for (let request = 0; request < 10; request++) {
    const failures = new failureAnswers.FailureAnswers(buffers);
    const early = failures.open();
    failures.release();
    for (const body of [early, failures.open()])
      for (let piece = 0; piece < 4; piece++) body.push(Buffer.alloc(MEBIBYTE));
  }
  const sound = buffers.open();
  for (let piece = 0; piece < 7; piece++) sound.push(Buffer.alloc(MEBIBYTE));
  t.is(sound.problem, undefined);
  t.is(sound.join().length, 7 * MEBIBYTE);
});
