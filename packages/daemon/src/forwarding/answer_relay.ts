import * as neverthrow from "neverthrow";
import * as traffic from "@geraniumkeel/traffic";
import * as eventSplitter from "./event_splitter.ts";
import type * as callerRequest from "./caller_request.ts";
import * as runnerClient from "./runner_client.ts";

/** Reads a body to its end; the error says why the body was truncated. */
export async function readCompleteBody(
  body: AsyncIterable<Buffer>,
): Promise<neverthrow.Result<Buffer, string>> {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of body) pieces.push(piece);
  } catch (cause) {
    if (cause instanceof runnerClient.TruncatedBody) {
      return neverthrow.err(cause.message);
    }
    throw cause;
  }
  return neverthrow.ok(Buffer.concat(pieces));
}

/**
 * Relays the answers of the attempts of one request to its caller. For a stream
 * of events the caller sees one answer: each later attempt continues after the
 * last complete event that was relayed, and the head of the first attempt
 * stays.
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
      /** Called for each event that is relayed. */
      onEvent: () => void;
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
  ): Promise<neverthrow.Result<void, string>> {
    switch (this.parameters.answerForm) {
      case traffic.AnswerForm.Whole:
        return this.#relayComplete(answer);
      case traffic.AnswerForm.Events:
        return this.#relayEvents(answer);
    }
  }

  async #relayComplete(
    answer: runnerClient.RunnerAnswer,
  ): Promise<neverthrow.Result<void, string>> {
    const completeBody = await readCompleteBody(answer.body);
    return completeBody.map((body) => {
      this.#delivery = this.parameters.sink.answer(answer.head, body);
    });
  }

  async #relayEvents(
    answer: runnerClient.RunnerAnswer,
  ): Promise<neverthrow.Result<void, string>> {
    const { sink } = this.parameters;
    const splitter = new eventSplitter.EventSplitter();
    try {
      for await (const piece of answer.body) {
        for (const event of splitter.push(piece)) {
          const problem = await this.#relayEvent(event, answer.head);
          if (problem) return neverthrow.err(problem);
        }
      }
    } catch (cause) {
      if (cause instanceof runnerClient.TruncatedBody) {
        return neverthrow.err(cause.message);
      }
      throw cause;
    }
    if (splitter.pendingBytes > 0) return neverthrow.err("event not ended");
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
  ): Promise<string | undefined> {
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
    this.parameters.onEvent();
    await sink.write(event.bytes);
    return undefined;
  }
}
