import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as httpFailure from "./http_failure.ts";
import * as neverthrow from "neverthrow";
import type * as undici from "undici";
import * as zod from "zod";
import * as engine from "./engine.ts";
import * as engineAnswers from "./engine_answers.ts";
import * as guardedRequest from "./guarded_request.ts";
import * as newAgent from "./new_agent.ts";
import * as answerNotice from "./answer_notice.ts";

/** Streams at once; each takes a connection. */
const MOST_CONNECTIONS = 512;
/** Longest item of a generation. */
const MAX_LINE_CHARACTERS = 1024 * 1024;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const ORDER_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Client of one model engine over HTTP: generation as newline-separated JSON,
 * orders and reports as JSON.
 */
export class HttpEngine {
  readonly #agent: undici.Agent;

  constructor(
    readonly origin: string,
    readonly parameters: {
      progressTimeoutMilliseconds: number;
      /** Called with each answer to a generation. */
      onAnswer?: (notice: answerNotice.AnswerNotice) => void;
      /** Called with each answer that can't be used. */
      onWrongAnswer?: (wrong: common.WrongAnswer) => void;
    },
  ) {
    const connections = MOST_CONNECTIONS;
    this.#agent = newAgent.newAgent({ ...parameters, connections });
  }

  /** Starts a generation and yields its items; the last is not a token. */
  generate(
    call: engine.GenerateCall,
    signal: AbortSignal,
  ): AsyncGenerator<engine.EngineItem, void, void> {
    const body = JSON.stringify(call);
    return this.#stream("POST", "/generate", body, signal);
  }

  /** Goes on with a generation from token `offset`. */
  resume(
    identifier: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<engine.EngineItem, void, void> {
    const path = `/generate/${encodeURIComponent(identifier)}?from=${offset}`;
    return this.#stream("GET", path, undefined, signal);
  }

  /** Gives up a generation; harmless when it has ended. */
  async cancel(identifier: string): Promise<void> {
    const path = `/generate/${encodeURIComponent(identifier)}`;
    await this.#json("DELETE", path, undefined, zod.unknown());
  }

  /** Reads the engine's load report. */
  async load(): Promise<
    neverthrow.Result<engine.EngineLoad, engine.EngineRefusal>
  > {
    return this.#json("GET", "/load", undefined, engineAnswers.LOAD);
  }

  /** Reads cache events after a sequence number. */
  async cacheEvents(
    after: number,
  ): Promise<
    neverthrow.Result<engine.EngineCacheEvent[], engine.EngineRefusal>
  > {
    const path = `/events?after=${after}`;
    return this.#json("GET", path, undefined, engineAnswers.CACHE_EVENTS);
  }

  /** Gives a group order and reads back the rank's state. */
  async order(
    order: wire.EngineOrder,
  ): Promise<neverthrow.Result<wire.RankState, engine.EngineRefusal>> {
    return this.#json("POST", "/orders", order, engineAnswers.RANK_STATE);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #json<T>(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body: unknown,
    schema: zod.ZodType<T>,
  ): Promise<neverthrow.Result<T, engine.EngineRefusal>> {
    try {
      const answer = await guardedRequest.guardedRequest(
        `${this.origin}${path}`,
        {
          method,
          dispatcher: this.#agent,
          body: body === undefined ? undefined : JSON.stringify(body),
          signal: AbortSignal.timeout(ORDER_TIMEOUT_MILLISECONDS),
          onWrongAnswer: this.parameters.onWrongAnswer,
        },
      );
      const text = await answer.text();
      if (answer.head.statusCode !== STATUS_OK) return refusal(text);
      const read = common.validateJson(schema, text);
      return read.isOk()
        ? neverthrow.ok(read.value)
        : refusal(unreadable(read.error));
    } catch (cause) {
      return refusal((cause as Error).message);
    }
  }

  async *#stream(
    method: "GET" | "POST",
    path: string,
    body: string | undefined,
    signal: AbortSignal,
  ): AsyncGenerator<engine.EngineItem, void, void> {
    const sentAt = common.instant();
    try {
      const answer = await guardedRequest.guardedRequest(
        `${this.origin}${path}`,
        {
          method,
          dispatcher: this.#agent,
          body,
          signal,
          onWrongAnswer: this.parameters.onWrongAnswer,
        },
      );
      this.parameters.onAnswer?.(
        answerNotice.answerNotice(answer.head, sentAt),
      );
      if (answer.head.statusCode === STATUS_UNAVAILABLE) {
        answer.close();
        yield { kind: engine.EngineItemKind.NotStarted, reason: "status 503" };
        return;
      }
      if (answer.head.statusCode !== STATUS_OK) {
        const reason = await answer.text();
        yield { kind: engine.EngineItemKind.Broken, reason };
        return;
      }
      yield* itemsOf(answer.body);
    } catch (cause) {
      yield httpFailure.itemOfFailure(cause);
      return;
    }
    yield { kind: engine.EngineItemKind.Broken, reason: "stream ended" };
  }
}

/** Items of a body, one a line; throws at a line that is none. */
async function* itemsOf(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<engine.EngineItem, void, void> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const piece of body) {
    const lines = (rest + decoder.decode(piece, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > MAX_LINE_CHARACTERS) throw new Error("item too long");
    for (const line of lines) {
      const item = common.validateJson(engineAnswers.ITEM, line);
      if (item.isErr()) throw new Error(unreadable(item.error));
      yield item.value;
    }
  }
}

/** What is wrong with an answer's shape, for people; the first problem of it. */
function unreadable([problem]: common.InputProblem[]): string {
  return `unreadable answer: ${common.describeProblem(problem)}`;
}

function refusal<T>(
  reason: string,
): neverthrow.Result<T, engine.EngineRefusal> {
  return neverthrow.err({ kind: "engine-refusal", reason });
}
