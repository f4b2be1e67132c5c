import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as answerCollector from "./answer_collector.ts";

/** What is known of a request that got no answer. */
export enum RequestFailureKind {
  /** The far end certainly never received it. */
  NotSent = "not-sent",
  /** It may have been received. */
  Unanswered = "unanswered",
}

/** A request without an answer. */
export interface RequestFailure {
  kind: RequestFailureKind;
  reason: string;
}

/** A whole answer. */
export interface HttpAnswer {
  status: number;
  body: string;
  /** Validator of the answer, for a conditional request; empty for none. */
  entityTag: string;
  /** Value of a header by its name in lower case. */
  header: (name: string) => string | undefined;
}

const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "ENOTFOUND",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether a failure proves that nothing was sent; `begun`: whether any of it may be. */
export function classifyFailure(cause: unknown, begun = true): RequestFailure {
  const error = cause as { code?: unknown; name?: string; message?: string };
  // A timeout of an abort signal carries a number here, and its name.
  const code = typeof error.code === "string" ? error.code : "";
  const kind =
    !begun || NOT_SENT_CODES.has(code)
      ? RequestFailureKind.NotSent
      : RequestFailureKind.Unanswered;
  return { kind, reason: code || (error.message ?? "failed") };
}

/** Calls under way at once; further ones wait, within their timeouts. */
const MAX_CONNECTIONS = 64;

/** How many connections a client has, and how long it uses each. */
export enum ConnectionUse {
  /**
   * A connection for each call. On a kept one a far end may send an answer again,
   * late, where the answer to the next call is due, and an order would count as
   * carried out that was not.
   */
  OncePerCall = "once-per-call",
  /**
   * One connection for many calls, one after the other. Only for readings of a state
   * that are repeated all the time, where one that is out of date does no harm.
   */
  Kept = "kept",
}

/** Calls on one kept connection, so that an answer sent twice misleads few. */
const MAX_CALLS_OF_CONNECTION = 64;

/** HTTP client for one origin. */
export class HttpClient {
  readonly #pool: undici.Pool;
  readonly #endings = new common.ConnectionEndings();
  #closed = false;

  constructor(
    readonly origin: string,
    readonly parameters: {
      /** Longest silence of the far end, before its answer and within it. */
      timeoutMilliseconds: number;
      key?: string;
      /** Longest body of an answer, if it is not that of a document. */
      maxBodyBytes?: number;
      /** `OncePerCall` without it. */
      connectionUse?: ConnectionUse;
      /** Called when a connection is about to be opened. */
      onConnect?: () => unknown;
      /** Called with each answer that can't be used. */
      onWrongAnswer?: (wrong: common.WrongAnswer) => void;
    },
  ) {
    const connect = undici.buildConnector({
      timeout: parameters.timeoutMilliseconds,
    });
    this.#pool = new undici.Pool(origin, {
      connect: (options, callback) => {
        parameters.onConnect?.();
        connect(options, (...made) => {
          const [, socket] = made;
          if (socket) this.#endings.watch(socket);
          callback(...made);
        });
      },
      // The silence of the far end is bounded for each request.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...optionsOf(parameters.connectionUse ?? ConnectionUse.OncePerCall),
    });
  }

  /** Sends a request with a JSON body and reads the whole answer. */
  async request(
    method: "GET" | "POST" | "PUT" | "DELETE",
    path: string,
    body?: unknown,
    options: { ifNoneMatch?: string; timeoutMilliseconds?: number } = {},
  ): Promise<neverthrow.Result<HttpAnswer, RequestFailure>> {
    if (this.#closed) {
      const kind = RequestFailureKind.NotSent;
      return neverthrow.err({ kind, reason: "client closed" });
    }
    const timeout =
      options.timeoutMilliseconds ?? this.parameters.timeoutMilliseconds;
    const headers: Record<string, string> = {};
    if (body !== undefined) headers["content-type"] = "application/json";
    if (options.ifNoneMatch) headers["if-none-match"] = options.ifNoneMatch;
    if (this.parameters.key) {
      headers["authorization"] = `Bearer ${this.parameters.key}`;
    }
    const collected = await this.#collect(timeout, {
      path,
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return collected
      .map(({ status, body: text, headers: told }) => ({
        status,
        body: text,
        entityTag: told.etag ?? "",
        header: (name: string) => told[name]?.toString(),
      }))
      .mapErr(({ cause, begun }) => classifyFailure(cause, begun));
  }

  #collect(
    timeoutMilliseconds: number,
    request: undici.Dispatcher.DispatchOptions,
  ): Promise<
    neverthrow.Result<
      answerCollector.CollectedAnswer,
      answerCollector.FailedRequest
    >
  > {
    const resetsBefore = this.#endings.resets;
    return new Promise((resolve) => {
      const collector = new answerCollector.AnswerCollector({
        timeoutMilliseconds,
        maxBodyBytes: this.parameters.maxBodyBytes,
        onWrongAnswer: (wrong) => this.parameters.onWrongAnswer?.(wrong),
        onAnswer: (answer) => resolve(neverthrow.ok(answer)),
        onFailure: (failure) => resolve(neverthrow.err(failure)),
        mayBeReset: () => this.#endings.anyResetSince(resetsBefore),
      });
      try {
        this.#pool.dispatch(request, collector);
      } catch (cause) {
        // A pool that is closed throws at once.
        const failure = { cause: cause as Error, begun: false };
        resolve(neverthrow.err(failure));
      }
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#pool.destroy();
  }
}

function optionsOf(use: ConnectionUse): undici.Pool.Options {
  switch (use) {
    case ConnectionUse.OncePerCall:
      return { connections: MAX_CONNECTIONS, pipelining: 0 };
    case ConnectionUse.Kept:
      return {
        connections: 1,
        pipelining: 1,
        maxRequestsPerClient: MAX_CALLS_OF_CONNECTION,
      };
  }
}
