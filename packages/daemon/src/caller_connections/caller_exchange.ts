import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as connectionEnd from "./connection_end.ts";
import * as headBytes from "./head_bytes.ts";
import * as readBody from "./read_body.ts";
import type * as trackedConnection from "./tracked_connection.ts";

/** Bytes of an answer that are handed to the connection at a time. */
const PIECE_BYTES = 64 * 1024;
const STATUS_MAY_HAVE_RUN = 502;
/** Length up to which a body that is not wanted is read to its end. */
const SHORT_BODY_BYTES = 64 * 1024;

/** One request of a caller and its answer, on the caller's connection. */
export class CallerExchange {
  /** When the head of the request was read. */
  readonly arrivedAt = common.instant();
  /** Identifier of the request in log lines; empty until it is known. */
  identifier = "";
  /** Handles it once its turn on the connection has come. */
  handle: () => Promise<unknown> = () => Promise.resolve();
  /** About how much memory its head takes. */
  readonly headBytes: number;
  #isOver = false;
  #release: () => void = () => {};
  readonly #left = new AbortController();
  /** Whether the request itself allows further ones on the connection. */
  readonly #callerKeepsOpen: boolean;

  constructor(
    readonly connection: trackedConnection.TrackedConnection,
    readonly incoming: http.IncomingMessage,
    readonly response: http.ServerResponse,
    /** Whether the caller waits to be told that the body may come. */
    readonly expectsContinue: boolean,
  ) {
    this.headBytes = headBytes.headBytes(incoming);
    this.#callerKeepsOpen = response.shouldKeepAlive;
    response.once("close", () => {
      if (!response.writableFinished) this.#left.abort();
    });
  }

  /** Aborts when the connection ends before the whole answer has left. */
  get disconnected(): AbortSignal {
    return this.#left.signal;
  }

  /** Whether the caller was told that this answer is the last one. */
  get isLast(): boolean {
    const { headersSent, shouldKeepAlive } = this.response;
    return headersSent && !shouldKeepAlive;
  }

  /** Says in the answer whether the connection stays open after it. */
  keepOpenAfter(keepsOpen: boolean): void {
    if (this.response.headersSent) return;
    this.response.shouldKeepAlive = keepsOpen && this.#callerKeepsOpen;
  }

  /** Lets the answer close the connection if the body has not come to its end. */
  closeUnlessRead(): void {
    if (!this.incoming.complete) this.keepOpenAfter(false);
  }

  /**
   * Lets the answer close the connection if much of a body may still come. A short one
   * is read and dropped, which costs less than a new connection.
   */
  closeUnlessShort(): void {
    const announced = readBody.announcedLength(this.incoming) ?? Infinity;
    if (announced > SHORT_BODY_BYTES) this.closeUnlessRead();
  }

  /** Drops what comes of the body. */
  dropBody(): void {
    this.incoming.resume();
  }

  /** Has memory given back once the request is answered or its connection closed. */
  releaseAtEnd(release: () => void): void {
    if (this.#isOver) release();
    else this.#release = release;
  }

  /** Gives back what the request took, as it is over. */
  release(): void {
    this.#isOver = true;
    this.#release();
  }

  /** Tells a caller that waits for it that the body may come. */
  allowBody(): void {
    if (this.expectsContinue) this.response.writeContinue();
  }

  /** Hands over a piece of the answer; resolves when more can be taken. */
  write(piece: string | Uint8Array): Promise<void> {
    const { response } = this;
    if (response.destroyed || response.write(piece)) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        response.off("drain", done);
        response.off("close", done);
        resolve();
      };
      response.once("drain", done);
      response.once("close", done);
    });
  }

  /**
   * Ends the answer with its last piece. Resolves to whether the whole answer
   * has left this process; it has not if the connection ends before.
   */
  async finish(last: Uint8Array = new Uint8Array()): Promise<boolean> {
    const { response } = this;
    let sent = 0;
    for (; last.length - sent > PIECE_BYTES; sent += PIECE_BYTES) {
      await this.write(last.subarray(sent, sent + PIECE_BYTES));
    }
    if (response.destroyed) return false;
    return new Promise((resolve) => {
      response.once("finish", () => resolve(true));
      response.once("close", () => resolve(response.writableFinished));
      response.end(last.subarray(sent));
    });
  }

  /**
   * Ends the exchange when its handling has failed. The request may have run, so
   * the answer promises nothing.
   */
  fail(): void {
    const { response } = this;
    if (response.writableEnded || response.destroyed) return;
    if (response.headersSent) return this.breakOff("handler failed");
    this.keepOpenAfter(false);
    response.writeHead(STATUS_MAY_HAVE_RUN, { "Content-Length": "0" }).end();
  }

  /**
   * Ends the connection without ending the answer, so that the caller cannot
   * take part of it for the whole.
   */
  breakOff(reason: string): void {
    const kind = connectionEnd.ConnectionEndKind.AnswerBrokenOff;
    this.connection.destroy({ kind, reason });
  }
}
