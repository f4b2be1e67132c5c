import * as stream from "node:stream";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
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
  body: AsyncIterable<Uint8Array>;
}

/** A call without an answer; `sent` tells whether it may have run. */
export interface PlainFailure {
  kind: "plain-failure";
  sent: boolean;
  reason: string;
}

/** Calls at once; each takes a connection. */
const MOST_CONNECTIONS = 256;
/** Hop-by-hop headers (RFC 9110, 7.6.1) and those the client sets itself. */
const DROPPED_HEADERS = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers that may be passed on to the next hop. */
export function endToEndHeaders(
  headers: Iterable<[string, string]>,
): [string, string][] {
  return [...headers].filter(
    ([name]) => !DROPPED_HEADERS.has(name.toLowerCase()),
  );
}

/** Client of one plain service over HTTP. */
export class HttpPlainService {
  readonly #agent: undici.Agent;

  constructor(
    readonly origin: string,
    readonly parameters: {
      progressTimeoutMilliseconds: number;
      /** Called with each answer. */
      onAnswer?: (notice: answerNotice.AnswerNotice) => void;
    },
  ) {
    const connections = MOST_CONNECTIONS;
    this.#agent = newAgent.newAgent({ ...parameters, connections });
  }

  /** Calls the service once; never repeats by itself. */
  async call(
    call: PlainCall,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<PlainAnswer, PlainFailure>> {
    const sentAt = common.instant();
    try {
      const answer = await undici.request(`${this.origin}${call.path}`, {
        method: call.method,
        dispatcher: this.#agent,
        headers: endToEndHeaders(call.headers).flat(),
        body: bodyOf(call.body),
        signal,
      });
      this.parameters.onAnswer?.(answerNotice.answerNotice(answer, sentAt));
      const headers = Object.entries(answer.headers).flatMap(
        ([name, value]): [string, string][] =>
          [value ?? []].flat().map((one) => [name, one]),
      );
      return neverthrow.ok({
        status: answer.statusCode,
        headers: endToEndHeaders(headers),
        body: answer.body as AsyncIterable<Uint8Array>,
      });
    } catch (cause) {
      const sent = !httpFailure.wasNotSent(cause);
      const reason = (cause as Error).message;
      return neverthrow.err({ kind: "plain-failure", sent, reason });
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function bodyOf(body: PlainCall["body"]): Buffer | stream.Readable | undefined {
  if (!(body instanceof Uint8Array)) return stream.Readable.from(body);
  return body.byteLength > 0 ? Buffer.from(body) : undefined;
}
