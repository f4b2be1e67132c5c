import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as answerSink from "../dispatch/answer_sink.ts";
import type * as callerConnection from "./caller_connection.ts";
import type * as openAi from "./open_ai.ts";

/** Times of one answer, for metrics. */
export interface AnswerTimes {
  firstPieceAt: number | undefined;
  lastPieceAt: number | undefined;
}

/** Streams a generation to the caller as server-sent events. */
export class StreamSink implements answerSink.AnswerSink, AnswerTimes {
  firstPieceAt: number | undefined;
  lastPieceAt: number | undefined;
  count = 0;

  constructor(
    readonly connection: callerConnection.CallerConnection,
    readonly format: openAi.AnswerFormat,
    readonly onInterval: (milliseconds: number) => void,
  ) {}

  /** Whether the caller has received part of the answer. */
  get delivered(): boolean {
    return this.firstPieceAt !== undefined;
  }

  /** Generations have no head. */
  head(): void {}

  /** Passes tokens on, one event each. */
  async pieces(pieces: wire.AnswerPiece[]): Promise<void> {
    const now = common.now();
    let text = "";
    if (this.firstPieceAt === undefined) {
      this.firstPieceAt = now;
      this.connection.response.writeHead(200, {
        "content-type": "text/event-stream; charset=utf-8",
        "cache-control": "no-store",
      });
      text = this.format.opening();
    } else if (this.lastPieceAt !== undefined) {
      this.onInterval((now - this.lastPieceAt) / pieces.length);
    }
    this.lastPieceAt = now;
    this.count += pieces.length;
    for (const piece of pieces) text += this.format.piece(String(piece));
    await this.connection.write(text);
  }

  /** Nothing to forget before the first piece. */
  reset(): void {}

  /** Ends a complete stream. */
  finish(finishReason: wire.FinishReason, promptTokens: number): void {
    const completionTokens = this.count;
    const closing = { finishReason, promptTokens, completionTokens };
    this.connection.response.end(this.format.closing(closing));
  }
}

/** Gathers a generation and gives it whole. */
export class WholeSink implements answerSink.AnswerSink, AnswerTimes {
  readonly delivered = false;
  firstPieceAt: number | undefined;
  lastPieceAt: number | undefined;
  #pieces: string[] = [];

  constructor(
    readonly connection: callerConnection.CallerConnection,
    readonly format: openAi.AnswerFormat,
  ) {}

  /** Tokens gathered. */
  get count(): number {
    return this.#pieces.length;
  }

  /** Generations have no head. */
  head(): void {}

  /** Gathers tokens. */
  async pieces(pieces: wire.AnswerPiece[]): Promise<void> {
    this.firstPieceAt ??= common.now();
    this.lastPieceAt = common.now();
    for (const piece of pieces) this.#pieces.push(String(piece));
  }

  /** Forgets what a broken attempt gave. */
  reset(): void {
    this.#pieces = [];
  }

  /** Gives the whole answer. */
  finish(finishReason: wire.FinishReason, promptTokens: number): void {
    const text = this.#pieces.join("");
    const completionTokens = this.count;
    const whole = { text, finishReason, promptTokens, completionTokens };
    const { response } = this.connection;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(this.format.whole(whole));
  }
}
