import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as traffic from "@geraniumkeel/traffic";
import type * as answerBuffers from "./answer_buffers.ts";
import * as answerDeliveries from "./answer_deliveries.ts";
import * as eventSplitter from "./event_splitter.ts";
import type * as callerRequest from "./caller_request.ts";
import * as runnerClient from "./runner_client.ts";

/** Reads a body into a buffer; returns why the body can't be used, if so. */
export async function collect(
  body: AsyncIterable<Buffer>,
  buffer: answerBuffers.AnswerBuffer,
  onPiece: () => void,
): Promise<string | undefined> {
  try {
    for await (const piece of body) {
      buffer.push(piece);
      onPiece();
      if (buffer.problem !== undefined) break;
    }
    return buffer.problem;
  } catch (cause) {
    if (!(cause instanceof common.TruncatedBody)) throw cause;
    return cause.message;
  }
}

/** An attempt whose answer is relayed, perhaps beside others. */
export interface RelayedAttempt {
  /** Aborts when another attempt got on; then this one relays nothing more. */
  superseded: AbortSignal;
  /** Aborts when the attempt is cancelled, for whatever reason. */
  cancelled: AbortSignal;
  /**
   * Called before anything goes to the caller: for each event, for the end of a
   * stream and for a complete body. Supersedes the other attempts.
   */
  onGotOn: () => void;
  /** Called for each piece of a body that is relayed once it is complete. */
  onPiece: () => void;
  /**
   * Called before a piece is written, or a complete body waits for others to be
   * taken, which takes as long as callers are slow; the returned function is called when it was written.
   */
  pause: () => () => void;
  /**
   * Called when a body came to its end, before it is passed on as complete;
   * resolves to why it is not complete after all, if so.
   */
  confirmEnd: () => Promise<string | undefined>;
}

/** Events of one answer that are relayed. */
const MAX_EVENTS = 200_000;
/** Events of one answer that are relayed before others get their turn. */
const EVENTS_PER_TURN = 64;

/** Why an attempt relays nothing more after another one got on. */
const SUPERSEDED = "another attempt got on";

/**
 * Relays the answers of the attempts of one request to its caller. For a stream
 * of events the caller sees one answer: each later attempt continues after the
 * last complete event that was relayed, and the head of the first attempt
 * stays. Attempts may be open at the same time; only one of them relays.
 */
export class AnswerRelay {
  #begun = false;
  #resumeAfter: string;
  /** Number of the last event relayed; `undefined` before the first. */
  #lastNumber: number | undefined;
  #delivery: Promise<boolean> = Promise.resolve(false);

  constructor(
    readonly parameters: {
      sink: callerRequest.AnswerSink;
      answerForm: traffic.AnswerForm;
      resumeAfter: string;
      buffers: answerBuffers.AnswerBuffers;
    },
  ) {
    this.#resumeAfter = parameters.resumeAfter;
  }

  /** Whether the caller has received part of the answer. */
  get begun(): boolean {
    return this.#begun;
  }

  /**
   * Resolves to whether the whole answer has left this process, once it was
   * relayed to its end.
   */
  get delivery(): Promise<boolean> {
    return this.#delivery;
  }

  /**
   * Number of the event after which the next attempt continues; empty to start
   * from the beginning.
   */
  get resumeAfter(): string {
    return this.#resumeAfter;
  }

  /** Relays an answer to its end; the error says why it stopped before. */
  relay(
    answer: runnerClient.RunnerAnswer,
    attempt: RelayedAttempt,
  ): Promise<neverthrow.Result<void, string>> {
    switch (this.parameters.answerForm) {
      case traffic.AnswerForm.Whole:
        return this.#relayComplete(answer, attempt);
      case traffic.AnswerForm.Events:
        return this.#relayEvents(answer, attempt);
    }
  }

  async #relayComplete(
    answer: runnerClient.RunnerAnswer,
    attempt: RelayedAttempt,
  ): Promise<neverthrow.Result<void, string>> {
    const { sink, buffers } = this.parameters;
    const buffer = buffers.open();
    try {
      const problem =
        (await collect(answer.body, buffer, attempt.onPiece)) ??
        (await attempt.confirmEnd());
      if (problem !== undefined) return neverthrow.err(problem);
      const release = await this.#reserve(buffer, attempt);
      if (!release)
        return neverthrow.err(buffer.problem ?? "no memory for the answer");
      if (attempt.superseded.aborted) {
        release();
        return neverthrow.err(SUPERSEDED);
      }
      attempt.onGotOn();
      const body = buffer.join();
      this.#delivery = answerDeliveries.AnswerDeliveries.deliver(release, () =>
        sink.answer(answer.head, body),
      );
      return neverthrow.ok(undefined);
    } finally {
      buffer.release();
    }
  }

  /**
   * Takes memory for the delivery of a complete answer. The answer stays in its
   * buffer until there is room, and may be given up for others there.
   */
  async #reserve(
    buffer: answerBuffers.AnswerBuffer,
    attempt: RelayedAttempt,
  ): Promise<(() => void) | undefined> {
    if (buffer.problem !== undefined) return undefined;
    const { deliveries } = this.parameters.buffers;
    const release = deliveries.reserve(buffer.bytes);
    if (release) return release;
    const resume = attempt.pause();
    const signal = AbortSignal.any([attempt.cancelled, buffer.dropped]);
    try {
      return await deliveries.reserveLater(buffer.bytes, signal);
    } finally {
      resume();
    }
  }

  async #relayEvents(
    answer: runnerClient.RunnerAnswer,
    attempt: RelayedAttempt,
  ): Promise<neverthrow.Result<void, string>> {
    const held = this.parameters.buffers.openCount();
    try {
      return await this.#relayHeldEvents(answer, attempt, held);
    } finally {
      held.release();
    }
  }

  async #relayHeldEvents(
    answer: runnerClient.RunnerAnswer,
    attempt: RelayedAttempt,
    held: answerBuffers.HeldCount,
  ): Promise<neverthrow.Result<void, string>> {
    const { sink } = this.parameters;
    const splitter = new eventSplitter.EventSplitter();
    held.dropped.addEventListener("abort", () => splitter.drop());
    let events = 0;
    try {
      for await (const piece of answer.body) {
        const complete = splitter.push(piece);
        const completeBytes = bytesOf(complete);
        held.set(completeBytes + splitter.pendingBytes);
        for (const event of complete) {
          const problem =
            held.problem ??
            (await this.#relayEvent(event, answer.head, attempt, held));
          if (problem) return neverthrow.err(problem);
          // Many events may come at once; other requests get their turn.
          if (++events % EVENTS_PER_TURN === 0) await common.nextTurn();
          if (events > MAX_EVENTS) return neverthrow.err("too many events");
        }
        held.set(splitter.pendingBytes);
        if (held.problem) return neverthrow.err(held.problem);
        if (splitter.isOverLong) return neverthrow.err("event too long");
      }
    } catch (cause) {
      if (cause instanceof common.TruncatedBody) {
        return neverthrow.err(cause.message);
      }
      throw cause;
    }
    if (splitter.pendingBytes > 0) return neverthrow.err("event not ended");
    const problem = await attempt.confirmEnd();
    if (problem !== undefined) return neverthrow.err(problem);
    if (attempt.superseded.aborted) return neverthrow.err(SUPERSEDED);
    attempt.onGotOn();
    if (!this.#begun) sink.begin(answer.head);
    this.#begun = true;
    this.#delivery = sink.end();
    return neverthrow.ok(undefined);
  }

  /**
   * Relays an event if it is the next in order, and returns the problem if it
   * is not. An attempt that continued at the wrong event would make the caller
   * see a gap or a repeated event.
   */
  async #relayEvent(
    event: eventSplitter.StreamEvent,
    head: callerRequest.AnswerHead,
    attempt: RelayedAttempt,
    held: answerBuffers.HeldCount,
  ): Promise<string | undefined> {
    if (attempt.superseded.aborted) return SUPERSEDED;
    const { sink } = this.parameters;
    const { number } = event;
    if (number !== undefined) {
      const isFirst = this.#lastNumber === undefined;
      if (!isFirst && number !== (this.#lastNumber ?? 0) + 1) {
        return `event ${number} after ${this.#lastNumber}`;
      }
      this.#lastNumber = number;
      this.#resumeAfter = String(number);
    }
    if (!this.#begun) sink.begin(head);
    this.#begun = true;
    attempt.onGotOn();
    const resume = attempt.pause();
    // A caller that takes nothing holds the event until its connection ends.
    const breakOff = () => sink.abort(held.problem ?? "");
    held.dropped.addEventListener("abort", breakOff, { once: true });
    await sink.write(event.bytes);
    held.dropped.removeEventListener("abort", breakOff);
    resume();
    return held.problem;
  }
}

function bytesOf(events: readonly eventSplitter.StreamEvent[]): number {
  return events.reduce((sum, { bytes }) => sum + bytes.length, 0);
}
