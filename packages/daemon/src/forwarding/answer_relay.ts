import * as neverthrow from "neverthrow";
import * as traffic from "@geraniumkeel/traffic";
import * as eventSplitter from "./event_splitter.ts";
import type * as callerRequest from "./caller_request.ts";
import * as runnerCaller from "./runner_caller.ts";

/** Reads a body to its end; the error says how it broke off. */
export async function readCompleteBody(
  body: AsyncIterable<Buffer>,
): Promise<neverthrow.Result<Buffer, string>> {
  const pieces: Buffer[] = [];
  try {
    for await (const piece of body) pieces.push(piece);
  } catch (cause) {
    if (cause instanceof runnerCaller.TruncatedBody) {
      return neverthrow.err(cause.message);
    }
    throw cause;
  }
  return neverthrow.ok(Buffer.concat(pieces));
}

/**
 * Passes the answers of one request's runs to its caller. Of a stream the caller
 * sees one answer: a later run goes on after the last whole event passed on, below
 * the head of the first run.
 */
export class AnswerRelay {
  #begun = false;
  #resumeAfter: string;
  /** Number of the last event passed on. */
  #lastNumber: number | undefined;

  constructor(
    readonly parameters: {
      sink: callerRequest.AnswerSink;
      answerForm: traffic.AnswerForm;
      resumeAfter: string;
      /** Called for each event that is passed on. */
      onEvent: () => void;
    },
  ) {
    this.#resumeAfter = parameters.resumeAfter;
  }

  /** Whether the caller has some of the answer. */
  get begun(): boolean {
    return this.#begun;
  }

  /** Event after which the next run is to go on; empty for the beginning. */
  get resumeAfter(): string {
    return this.#resumeAfter;
  }

  /** Passes on an answer to its end; the error says how it broke off. */
  relay(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<neverthrow.Result<void, string>> {
    switch (this.parameters.answerForm) {
      case traffic.AnswerForm.Whole:
        return this.#relayComplete(answer);
      case traffic.AnswerForm.Events:
        return this.#relayEvents(answer);
    }
  }

  async #relayComplete(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<neverthrow.Result<void, string>> {
    const completeBody = await readCompleteBody(answer.body);
    return completeBody.map((body) => {
      this.parameters.sink.answer(answer.head, body);
    });
  }

  async #relayEvents(
    answer: runnerCaller.RunnerAnswer,
  ): Promise<neverthrow.Result<void, string>> {
    const { sink } = this.parameters;
    const splitter = new eventSplitter.EventSplitter();
    try {
      for await (const piece of answer.body) {
        for (const event of splitter.push(piece)) {
          const problem = await this.#passOn(event, answer.head);
          if (problem) return neverthrow.err(problem);
        }
      }
    } catch (cause) {
      if (cause instanceof runnerCaller.TruncatedBody) {
        return neverthrow.err(cause.message);
      }
      throw cause;
    }
    if (splitter.pendingBytes > 0) return neverthrow.err("event not ended");
    if (!this.#begun) sink.begin(answer.head);
    this.#begun = true;
    sink.end();
    return neverthrow.ok(undefined);
  }

  /**
   * Passes an event on if it is the next one. A run that goes on elsewhere than
   * where the one before stopped would have the caller see a gap or a repeat.
   */
  async #passOn(
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
