import type * as wire from "@geraniumkeel/wire";
import type * as answerSink from "../dispatch/answer_sink.ts";
import type * as callerConnection from "./caller_connection.ts";

/** Passes a plain service's answer on as it is. */
export class PlainSink implements answerSink.AnswerSink {
  #head: wire.AnswerHead | undefined;
  #delivered = false;

  constructor(readonly connection: callerConnection.CallerConnection) {}

  /** Whether the caller has received part of the answer. */
  get delivered(): boolean {
    return this.#delivered;
  }

  /** Holds the head until the body starts: until then another try is possible. */
  head(head: wire.AnswerHead): void {
    this.#head = head;
  }

  /** Passes on bytes of the body. */
  async pieces(pieces: wire.AnswerPiece[]): Promise<void> {
    this.#sendHead();
    for (const piece of pieces) await this.connection.write(piece);
  }

  /** Forgets the head of a broken attempt. */
  reset(): void {
    this.#head = undefined;
  }

  /** Ends a complete answer. */
  finish(): void {
    this.#sendHead();
    this.connection.response.end();
  }

  #sendHead(): void {
    if (this.#delivered) return;
    this.#delivered = true;
    const { status, headers } = this.#head ?? { status: 200, headers: [] };
    const { response } = this.connection;
    for (const [name, value] of headers) response.appendHeader(name, value);
    response.writeHead(status);
  }
}
