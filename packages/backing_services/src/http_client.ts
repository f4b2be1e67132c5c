import type * as common from "@geraniumkeel/common";
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

/**
 * HTTP client for one origin. A pooled connection may have gone silent while
 * new ones work, so after any time-out the whole pool is replaced: the next
 * request opens a connection of its own.
 */
export class HttpClient {
  #pool: undici.Pool;
  #closed = false;

  constructor(
    readonly origin: string,
    readonly parameters: {
      /** Longest silence of the far end, before its answer and within it. */
      timeoutMilliseconds: number;
      key?: string;
      /** Called with each answer that can't be used. */
      onWrongAnswer?: (wrong: common.WrongAnswer) => void;
    },
  ) {
    this.#pool = this.#newPool();
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
    const pool = this.#pool;
    const timeout =
      options.timeoutMilliseconds ?? this.parameters.timeoutMilliseconds;
    const headers: Record<string, string> = {};
    if (body !== undefined) headers["content-type"] = "application/json";
    if (options.ifNoneMatch) headers["if-none-match"] = options.ifNoneMatch;
    if (this.parameters.key) {
      headers["authorization"] = `Bearer ${this.parameters.key}`;
    }
    const collected = await this.#collect(pool, timeout, {
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
      .mapErr(({ cause, begun }) => {
        const failure = classifyFailure(cause, begun);
        if (failure.kind === RequestFailureKind.Unanswered) this.#replace(pool);
        return failure;
      });
  }

  #collect(
    pool: undici.Pool,
    timeoutMilliseconds: number,
    request: undici.Dispatcher.DispatchOptions,
  ): Promise<
    neverthrow.Result<
      answerCollector.CollectedAnswer,
      answerCollector.FailedRequest
    >
  > {
    return new Promise((resolve) => {
      const collector = new answerCollector.AnswerCollector({
        timeoutMilliseconds,
        onWrongAnswer: (wrong) => this.parameters.onWrongAnswer?.(wrong),
        onAnswer: (answer) => resolve(neverthrow.ok(answer)),
        onFailure: (failure) => resolve(neverthrow.err(failure)),
      });
      try {
        pool.dispatch(request, collector);
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

  #replace(pool: undici.Pool): void {
    // A request that ends by our own closing must not open a pool anew, nor
    // close one that is destroyed: that rejects, and would end the process.
    if (this.#closed || this.#pool !== pool) return;
    this.#pool = this.#newPool();
    // Other requests may be waiting on the old pool; it closes when they end.
    pool.close().catch(() => undefined);
  }

  #newPool(): undici.Pool {
    return new undici.Pool(this.origin, {
      connect: { timeout: this.parameters.timeoutMilliseconds },
      // The silence of the far end is bounded for each request.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 4_000,
      connections: 16,
    });
  }
}
