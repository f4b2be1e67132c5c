import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import type * as undici from "undici";

/** How many times the longest silence an answer may take as a whole. */
const LONGEST_ANSWER = 8;
/** Longest body; the largest documents asked for have some megabytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Bytes that all answers of a process hold while they are collected. */
const MAX_COLLECTED_BYTES = 32 * 1024 * 1024;
/** One for the process: each client alone would stay within any bound of its own. */
const collected = new common.HeldBytes(MAX_COLLECTED_BYTES);

/** Statuses of answers without a body. */
const STATUSES_WITHOUT_BODY = new Set([204, 304]);
/** Least status of a head before the final one, and of a final one. */
const INTERIM_STATUS = 100;
const FINAL_STATUS = 200;

/** An answer as it was collected. */
export interface CollectedAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
}

/** A request that was given up, or whose connection failed. */
export interface FailedRequest {
  cause: Error;
  /** Whether any of it may have been sent. */
  begun: boolean;
}

/**
 * Collects the answer to one request. Gives up on a far end that says nothing, and not on
 * one whose answer takes long: on a slow link a large answer takes longer than any useful
 * timeout, and given up halfway and asked for again it never arrives. Timers of the
 * client library are right to half a second, too late for what an engine is asked.
 */
export class AnswerCollector implements undici.Dispatcher.DispatchHandler {
  readonly #guard: common.AnswerGuard;
  readonly #held = collected.open(() =>
    this.#giveUp("answers over the memory for them"),
  );
  #pieces: Buffer[] = [];
  readonly #startedAt = common.now();
  readonly #silence: NodeJS.Timeout;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #status = 0;
  #headers: http.IncomingHttpHeaders = {};
  #over = false;

  constructor(
    readonly parameters: {
      /** Longest silence of the far end, before its answer and within it. */
      timeoutMilliseconds: number;
      /** Longest body, if it is not that of a document. */
      maxBodyBytes?: number;
      onWrongAnswer: (wrong: common.WrongAnswer) => void;
      onAnswer: (answer: CollectedAnswer) => void;
      onFailure: (failure: FailedRequest) => void;
      /** Whether the connection of the answer may have been reset. */
      mayBeReset: () => Promise<boolean>;
    },
  ) {
    const { timeoutMilliseconds, maxBodyBytes = MAX_BODY_BYTES } = parameters;
    this.#guard = new common.AnswerGuard(maxBodyBytes);
    this.#silence = setTimeout(
      () => this.#giveUp("no answer in time"),
      timeoutMilliseconds,
    );
  }

  /** The request is about to be sent; not any more if it was given up. */
  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.#over) return controller.abort(new Error("given up"));
    this.#controller = controller;
  }

  /** Status and headers are there, of the final answer or of one before it. */
  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    if (status >= INTERIM_STATUS && status < FINAL_STATUS) {
      this.#refuse(this.#guard.checkInterimHead(status));
      return;
    }
    const contentLength = headers["content-length"];
    this.#refuse(this.#guard.checkHead({ status, contentLength }));
    this.#status = status;
    this.#headers = headers;
    this.#silence.refresh();
  }

  /** A piece of the body is there. */
  onResponseData(
    _controller: undici.Dispatcher.DispatchController,
    piece: Buffer,
  ): void {
    this.#refuse(this.#guard.checkPiece(piece.length));
    if (this.#over) return;
    this.#pieces.push(piece);
    this.#held.set(this.#held.bytes + piece.length);
    if (this.#over) return;
    this.#silence.refresh();
    const longest = this.parameters.timeoutMilliseconds * LONGEST_ANSWER;
    if (common.now() - this.#startedAt > longest) {
      this.#giveUp("answer takes too long");
    }
  }

  /**
   * The answer came to its end. undici says so too when a connection is reset whose
   * end alone tells where the body ends.
   */
  onResponseEnd(): void {
    if (this.#isFramed) this.#succeed();
    else void this.#confirmEnd();
  }

  get #isFramed(): boolean {
    return (
      STATUSES_WITHOUT_BODY.has(this.#status) ||
      this.#headers["content-length"] !== undefined ||
      this.#headers["transfer-encoding"] !== undefined
    );
  }

  async #confirmEnd(): Promise<void> {
    if (await this.parameters.mayBeReset()) {
      this.#fail(new Error("connection reset"));
    } else {
      this.#succeed();
    }
  }

  #succeed(): void {
    const body = Buffer.concat(this.#pieces).toString("utf8");
    if (!this.#end()) return;
    const status = this.#status;
    const headers = this.#headers;
    this.parameters.onAnswer({ status, headers, body });
  }

  /** The connection failed, or could not be made. */
  onResponseError(
    _controller: undici.Dispatcher.DispatchController,
    cause: Error,
  ): void {
    this.#fail(cause);
  }

  /** Gives up an answer that is wrong. */
  #refuse(wrong: common.WrongAnswer | undefined): void {
    if (!wrong) return;
    this.parameters.onWrongAnswer(wrong);
    this.#giveUp(common.describeWrongAnswer(wrong));
  }

  #giveUp(reason: string): void {
    const cause = new Error(reason);
    this.#fail(cause);
    this.#controller?.abort(cause);
  }

  #fail(cause: Error): void {
    if (!this.#end()) return;
    const begun = this.#controller !== undefined;
    this.parameters.onFailure({ cause, begun });
  }

  /** Whether this is the end; the first one counts. */
  #end(): boolean {
    if (this.#over) return false;
    this.#over = true;
    this.#pieces = [];
    this.#held.release();
    clearTimeout(this.#silence);
    return true;
  }
}
