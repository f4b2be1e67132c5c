import * as http from "node:http";
import type * as net from "node:net";
import * as neverthrow from "neverthrow";
import * as answerGuard from "./answer_guard.ts";
import * as wrongAnswer from "./wrong_answer.ts";

const STATUSES_WITHOUT_BODY = new Set([204, 304]);
/** What heads may take of an answer; the parser takes 16 KiB for each. */
const HEADS_ALLOWANCE_BYTES = 32 * 1024;
/**
 * Bytes that may come without the head of the final answer, more than all heads that
 * the guard and the parser allow. The parser passes over empty lines, however many
 * come, and reading them keeps the process busy.
 */
const MAX_BYTES_BEFORE_ANSWER = 288 * 1024;
/** How the codes of the parser's errors begin. */
const PARSER_CODE_PREFIX = "HPE_";

/** One request, and the bounds on its answer. */
export interface HttpCallOptions {
  host: string;
  port: number;
  method: string;
  /** Path and query. */
  path: string;
  /** Names and values of all headers, in turn. */
  headers: string[];
  body: Buffer;
  /** Ends the call; its connection is closed. */
  signal: AbortSignal;
  /** Longest time for the connection to be made. */
  connectTimeoutMilliseconds: number;
  /** Longest body of the answer; see `AnswerGuard`. */
  maxBodyBytes: number;
  /** Called once at most, when the answer proves to be wrong. */
  onWrongAnswer: (wrong: wrongAnswer.WrongAnswer) => void;
}

/** Head of an answer that passed the checks, with the body still to be read. */
export interface HttpCallAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  /** Names and values as sent, in turn. */
  rawHeaders: string[];
  /** Whether nothing but the end of the connection tells where the body ends. */
  endsWithConnection: boolean;
  /**
   * The body as it arrives. Throws a `TruncatedBody` if the connection ends before
   * the body does, or if the body is wrong.
   */
  body: AsyncIterable<Buffer>;
  /** Closes the connection; what was not read of the body is lost. */
  close: () => void;
}

/** A body that can't be used, as it did not come to its end. */
export class TruncatedBody extends Error {}

/** How a call failed, by what the far end may have received. */
export enum HttpCallFailureKind {
  /** The request can't be written as HTTP, so nothing was sent. */
  Unwritable = "unwritable",
  /** No connection was made, so nothing was sent. */
  NotSent = "not-sent",
  /** A connection was made; the far end may have the request. */
  Unanswered = "unanswered",
}

/** A call without the head of an answer that can be used. */
export interface HttpCallFailure {
  kind: HttpCallFailureKind;
  reason: string;
}

/** Outcome of a call. */
export type HttpCallResult = neverthrow.Result<HttpCallAnswer, HttpCallFailure>;

/**
 * Sends a request on a connection of its own. A far end may send a second answer
 * to a request late, where the answer to the next one is due; no other request
 * comes on this connection.
 *
 * Node's own client and not undici's: undici takes a body without a length that
 * is reset for a complete one.
 */
export function httpCall(options: HttpCallOptions): Promise<HttpCallResult> {
  if (options.signal.aborted) {
    const kind = HttpCallFailureKind.NotSent;
    const reason = "ended before it was sent";
    return Promise.resolve(neverthrow.err({ kind, reason }));
  }
  return new Promise((resolve) => new HttpCall(options, resolve).start());
}

class HttpCall {
  readonly #guard: answerGuard.AnswerGuard;
  #connected = false;
  /** Why the connection failed; `undefined` if it did not. */
  #broken: string | undefined;
  #isWrong = false;

  constructor(
    readonly options: HttpCallOptions,
    /** Only the first result counts. */
    readonly settle: (result: HttpCallResult) => void,
  ) {
    this.#guard = new answerGuard.AnswerGuard(options.maxBodyBytes);
  }

  start(): void {
    let request: http.ClientRequest;
    try {
      request = this.#open();
    } catch (cause) {
      // A value with characters that HTTP has no place for.
      const kind = HttpCallFailureKind.Unwritable;
      this.settle(neverthrow.err({ kind, reason: (cause as Error).message }));
      return;
    }
    this.#watchConnection(request);
    request.on("information", ({ statusCode }) => {
      const wrong = this.#guard.checkInterimHead(statusCode);
      if (wrong) this.#refuse(request, wrong);
    });
    // Without a listener the client closes the connection and emits neither an
    // answer nor an error.
    request.once("upgrade", (_response, socket) => {
      socket.destroy();
      const kind = wrongAnswer.WrongAnswerKind.Upgrade;
      this.#refuse(request, { kind, detail: "not asked for" });
    });
    request.once("response", (response) => this.#receive(request, response));
    request.end(this.options.body);
  }

  #open(): http.ClientRequest {
    const { host, port, method, path, headers, signal } = this.options;
    return http.request({
      host,
      port,
      method,
      path,
      headers: [...headers, "Connection", "close"],
      setHost: false,
      agent: false,
      signal,
    });
  }

  #watchConnection(request: http.ClientRequest): void {
    const timer = setTimeout(() => {
      // Timers run before sockets are read: after a pause of this process the
      // connection may be there already.
      setImmediate(() => {
        if (!this.#connected) request.destroy(new Error("connect timeout"));
      });
    }, this.options.connectTimeoutMilliseconds);
    request.once("socket", (socket) => {
      socket.setNoDelay(true);
      socket.once("connect", () => {
        this.#connected = true;
        clearTimeout(timer);
      });
      this.#boundBytesBeforeAnswer(request, socket);
    });
    request.on("error", (cause: NodeJS.ErrnoException) => {
      // Noted first: for a body without a length, a reset is followed by its
      // end, as if it were complete.
      this.#broken ??= cause.message;
      if (cause.code?.startsWith(PARSER_CODE_PREFIX)) {
        const kind = wrongAnswer.WrongAnswerKind.Malformed;
        this.#noteWrong({ kind, detail: cause.message });
      }
      this.#fail(cause.message);
    });
    // Comes last, whatever came before, and even alone.
    request.once("close", () => {
      clearTimeout(timer);
      this.#fail("connection closed without an answer");
    });
  }

  #boundBytesBeforeAnswer(
    request: http.ClientRequest,
    socket: net.Socket,
  ): void {
    let hasHead = false;
    const check = () => {
      if (hasHead || socket.bytesRead <= MAX_BYTES_BEFORE_ANSWER) return;
      socket.off("data", check);
      const kind = wrongAnswer.WrongAnswerKind.Malformed;
      const detail = `no head in ${MAX_BYTES_BEFORE_ANSWER} bytes`;
      this.#refuse(request, { kind, detail });
    };
    socket.on("data", check);
    request.once("response", () => {
      hasHead = true;
      socket.off("data", check);
    });
  }

  #receive(request: http.ClientRequest, response: http.IncomingMessage): void {
    const { statusCode: status = 0, httpVersion: version } = response;
    const hasBody = this.#mayHaveBody(status);
    const contentLength = hasBody
      ? response.headers["content-length"]
      : undefined;
    const wrong = this.#guard.checkHead({ status, version, contentLength });
    if (wrong) return this.#refuse(request, wrong);
    const endsWithConnection =
      hasBody &&
      contentLength === undefined &&
      response.headers["transfer-encoding"] === undefined;
    const ending = endsWithConnection
      ? endingOf(response.socket)
      : Promise.resolve(undefined);
    const problem = async () => {
      if (endsWithConnection) return this.#broken ?? (await ending);
      // Bytes behind a complete answer are no part of it.
      return response.complete ? undefined : "connection ended early";
    };
    this.settle(
      neverthrow.ok({
        status,
        headers: response.headers,
        rawHeaders: response.rawHeaders,
        endsWithConnection,
        body: this.#bodyOf(response, problem),
        close: () => {
          if (!response.readableEnded) request.destroy();
        },
      }),
    );
  }

  #mayHaveBody(status: number): boolean {
    return this.options.method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(status);
  }

  async *#bodyOf(
    response: http.IncomingMessage,
    problem: () => Promise<string | undefined>,
  ): AsyncGenerator<Buffer, void, void> {
    const { socket } = response;
    let bodyBytes = 0;
    let framingBytes = 0;
    try {
      for await (const piece of response as AsyncIterable<Buffer>) {
        bodyBytes += piece.length;
        const parsedBytes = bodyBytes + response.readableLength;
        // A piece may hold many chunks; what is no body came around them.
        const seen = socket.bytesRead - parsedBytes - HEADS_ALLOWANCE_BYTES;
        const added = response.complete ? 0 : Math.max(0, seen - framingBytes);
        framingBytes += added;
        const wrong = this.#guard.checkPiece(piece.length, added);
        if (wrong) {
          this.#noteWrong(wrong);
          throw new Error(wrongAnswer.describeWrongAnswer(wrong));
        }
        yield piece;
      }
    } catch (cause) {
      throw new TruncatedBody(this.#broken ?? (cause as Error).message);
    }
    const reason = await problem();
    if (reason !== undefined) throw new TruncatedBody(reason);
  }

  /** Closes the connection, as nothing on it can be used. */
  #refuse(request: http.ClientRequest, wrong: wrongAnswer.WrongAnswer): void {
    this.#noteWrong(wrong);
    this.#fail(wrongAnswer.describeWrongAnswer(wrong));
    request.destroy();
  }

  #noteWrong(wrong: wrongAnswer.WrongAnswer): void {
    if (this.#isWrong) return;
    this.#isWrong = true;
    this.options.onWrongAnswer(wrong);
  }

  #fail(reason: string): void {
    const kind = this.#connected
      ? HttpCallFailureKind.Unanswered
      : HttpCallFailureKind.NotSent;
    this.settle(neverthrow.err({ kind, reason }));
  }
}

/**
 * How a connection ended on which a body without a length came; `undefined` if
 * the far end closed it. Where the last bytes and a reset arrive together, the
 * event loop reports the end and swallows the reset, and a short body would pass
 * for a whole one. Writing tells them apart: to a reset connection it fails at
 * once. An empty line is what servers skip between requests.
 */
function endingOf(socket: net.Socket): Promise<string | undefined> {
  return new Promise((resolve) => {
    socket.prependOnceListener("end", () => {
      socket.write("\r\n", (cause) => resolve(cause?.message));
    });
    socket.once("error", (cause) => resolve(cause.message));
    socket.once("close", () => resolve("connection closed"));
  });
}
