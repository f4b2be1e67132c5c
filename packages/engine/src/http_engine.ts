import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as httpFailure from "./http_failure.ts";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as engine from "./engine.ts";
import * as newAgent from "./new_agent.ts";
import * as answerNotice from "./answer_notice.ts";

/** Streams at once; each takes a connection. */
const MOST_CONNECTIONS = 512;
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
    await this.#json("DELETE", path, undefined);
  }

  /** Reads the engine's load report. */
  async load(): Promise<
    neverthrow.Result<engine.EngineLoad, engine.EngineRefusal>
  > {
    const answer = await this.#json("GET", "/load", undefined);
    return answer.map((value) => value as engine.EngineLoad);
  }

  /** Reads cache events after a sequence number. */
  async cacheEvents(
    after: number,
  ): Promise<
    neverthrow.Result<engine.EngineCacheEvent[], engine.EngineRefusal>
  > {
    const answer = await this.#json("GET", `/events?after=${after}`, undefined);
    return answer.map((value) => value as engine.EngineCacheEvent[]);
  }

  /** Gives a group order and reads back the rank's state. */
  async order(
    order: wire.EngineOrder,
  ): Promise<neverthrow.Result<wire.RankState, engine.EngineRefusal>> {
    const answer = await this.#json("POST", "/orders", order);
    return answer.map((value) => value as wire.RankState);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #json(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body: unknown,
  ): Promise<neverthrow.Result<unknown, engine.EngineRefusal>> {
    try {
      const answer = await undici.request(`${this.origin}${path}`, {
        method,
        dispatcher: this.#agent,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(ORDER_TIMEOUT_MILLISECONDS),
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) return refusal(text);
      return neverthrow.ok(JSON.parse(text));
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
      const answer = await undici.request(`${this.origin}${path}`, {
        method,
        dispatcher: this.#agent,
        body,
        signal,
      });
      this.parameters.onAnswer?.(answerNotice.answerNotice(answer, sentAt));
      if (answer.statusCode === 503) {
        await answer.body.dump();
        yield { kind: engine.EngineItemKind.NotStarted, reason: "status 503" };
        return;
      }
      if (answer.statusCode !== 200) {
        const reason = await answer.body.text();
        yield { kind: engine.EngineItemKind.Broken, reason };
        return;
      }
      let rest = "";
      answer.body.setEncoding("utf8");
      for await (const chunk of answer.body) {
        const lines = (rest + (chunk as string)).split("\n");
        rest = lines.pop() ?? "";
        for (const line of lines) yield JSON.parse(line) as engine.EngineItem;
      }
    } catch (cause) {
      yield httpFailure.itemOfFailure(cause);
      return;
    }
    yield { kind: engine.EngineItemKind.Broken, reason: "stream ended" };
  }
}

function refusal<T>(
  reason: string,
): neverthrow.Result<T, engine.EngineRefusal> {
  return neverthrow.err({ kind: "engine-refusal", reason });
}
