import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as silenceTimer from "./silence_timer.ts";

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

/** Whether a failure proves that nothing was sent. */
export function classifyFailure(cause: unknown): RequestFailure {
  const error = cause as { code?: unknown; name?: string; message?: string };
  // A timeout of an abort signal carries a number here, and its name.
  const code = typeof error.code === "string" ? error.code : "";
  const kind = NOT_SENT_CODES.has(code)
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
  #agent: undici.Agent;
  #closed = false;

  constructor(
    readonly origin: string,
    readonly parameters: {
      /** Longest silence of the far end, before its answer and within it. */
      timeoutMilliseconds: number;
      key?: string;
    },
  ) {
    this.#agent = this.#newAgent();
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
    const agent = this.#agent;
    const timeout =
      options.timeoutMilliseconds ?? this.parameters.timeoutMilliseconds;
    const headers: Record<string, string> = {};
    if (body !== undefined) headers["content-type"] = "application/json";
    if (options.ifNoneMatch) headers["if-none-match"] = options.ifNoneMatch;
    if (this.parameters.key) {
      headers["authorization"] = `Bearer ${this.parameters.key}`;
    }
    const silence = new silenceTimer.SilenceTimer(timeout);
    try {
      const answer = await undici.request(`${this.origin}${path}`, {
        method,
        dispatcher: agent,
        headers,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: silence.signal,
      });
      const text = await silence.read(answer.body);
      const entityTag = String(answer.headers.etag ?? "");
      return neverthrow.ok({
        status: answer.statusCode,
        body: text,
        entityTag,
        header: (name) => answer.headers[name]?.toString(),
      });
    } catch (cause) {
      const failure = classifyFailure(cause);
      if (failure.kind === RequestFailureKind.Unanswered) this.#replace(agent);
      return neverthrow.err(failure);
    } finally {
      silence.stop();
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#agent.destroy();
  }

  #replace(agent: undici.Agent): void {
    // A request that ends by our own closing must not open a pool anew, nor
    // close one that is destroyed: that rejects, and would end the process.
    if (this.#closed || this.#agent !== agent) return;
    this.#agent = this.#newAgent();
    // Other requests may be waiting on the old pool; it closes when they end.
    agent.close().catch(() => undefined);
  }

  #newAgent(): undici.Agent {
    const timeout = this.parameters.timeoutMilliseconds;
    return new undici.Agent({
      connect: { timeout },
      headersTimeout: timeout,
      bodyTimeout: timeout,
      keepAliveTimeout: 4_000,
      connections: 16,
    });
  }
}
