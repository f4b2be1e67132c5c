import * as stream from "node:stream";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import type * as undici from "undici";
import * as guardedRequest from "./guarded_request.ts";
import * as newAgent from "./new_agent.ts";
import * as httpFailure from "./http_failure.ts";
import * as answerNotice from "./answer_notice.ts";

/** A call of a plain service. */
export interface PlainCall {
  method: string;
  path: string;
  headers: [string, string][];
  /** The whole body, or the body as it arrives. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
}

/** Head of the answer and its body as it arrives. */
export interface PlainAnswer {
  status: number;
  headers: [string, string][];
  /**
   * Whether nothing but the end of the connection tells where the body ends. A
   * service that crashes may end it in the same way as one that is done.
   */
  endsWithConnection: boolean;
  /** Throws if the connection ends before the body does. */
  body: AsyncIterable<Uint8Array>;
}

/** A call without an answer; `sent` tells whether it may have run. */
export interface PlainFailure {
  kind: "plain-failure";
  sent: boolean;
  reason: string;
}

const STATUSES_WITHOUT_BODY = new Set([204, 304]);
/** Calls at once; each takes a connection. */
const MOST_CONNECTIONS = 256;
/** Headers that the client sets itself, in lower case. */
const SET_BY_CLIENT = new Set(["content-length", "expect", "host"]);

/** Headers that are passed on to the next hop as they are. */
export function forwardedHeaders(
  headers: Iterable<[string, string]>,
): [string, string][] {
  return common
    .endToEndHeaders(headers)
    .filter(([name]) => !SET_BY_CLIENT.has(name.toLowerCase()));
}

/** Client of one plain service over HTTP. */
export class HttpPlainService {
  readonly #agent: undici.Agent;
  readonly #endings = new common.ConnectionEndings();

  constructor(
    readonly origin: string,
    readonly parameters: {
      progressTimeoutMilliseconds: number;
      /** Called with each answer. */
      onAnswer?: (notice: answerNotice.AnswerNotice) => void;
      /** Called with each answer that can't be used. */
      onWrongAnswer?: (wrong: common.WrongAnswer) => void;
    },
  ) {
    const connections = MOST_CONNECTIONS;
    this.#agent = newAgent.newAgent({
      ...parameters,
      connections,
      onConnection: (socket) => this.#endings.watch(socket),
    });
  }

  /** Calls the service once; never repeats by itself. */
  async call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<PlainAnswer, PlainFailure>> {
    const sentAt = common.instant();
    const resetsBefore = this.#endings.resets;
    try {
      const { head, body } = await guardedRequest.guardedRequest(
        `${this.origin}${call.path}`,
        {
          method: call.method,
          dispatcher: this.#agent,
          headers: forwardedHeaders(call.headers).flat(),
          body: bodyOf(call.body),
          signal,
          onWrongAnswer: this.parameters.onWrongAnswer,
        },
      );
      this.parameters.onAnswer?.(answerNotice.answerNotice(head, sentAt));
      const headers = Object.entries(head.headers).flatMap(
        ([name, value]): [string, string][] =>
          [value ?? []].flat().map((one) => [name, one]),
      );
      const endsWithConnection = !isFramed(call, head);
      return neverthrow.ok({
        status: head.statusCode,
        headers: forwardedHeaders(headers),
        endsWithConnection,
        body: endsWithConnection ? this.#unreset(body, resetsBefore) : body,
      });
    } catch (cause) {
      const sent = !httpFailure.wasNotSent(cause);
      const reason = (cause as Error).message;
      return neverthrow.err({ kind: "plain-failure", sent, reason });
    }
  }

  /**
   * Passes on a body that ends with its connection. Throws if any connection was
   * reset meanwhile, as that may have been the body's own.
   */
  async *#unreset(
    body: AsyncIterable<Uint8Array>,
    resetsBefore: number,
  ): AsyncGenerator<Uint8Array, void, void> {
    yield* body;
    if (await this.#endings.anyResetSince(resetsBefore))
      throw new Error("connection reset");
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** Whether the length of a body is known, so that a short one is seen. */
function isFramed(
  { method }: PlainCall,
  { statusCode, headers }: undici.Dispatcher.ResponseData,
): boolean {
  return (
    method === "HEAD" ||
    STATUSES_WITHOUT_BODY.has(statusCode) ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined
  );
}

function bodyOf(body: PlainCall["body"]): Buffer | stream.Readable | undefined {
  if (!(body instanceof Uint8Array)) return stream.Readable.from(body);
  return body.byteLength > 0 ? Buffer.from(body) : undefined;
}
