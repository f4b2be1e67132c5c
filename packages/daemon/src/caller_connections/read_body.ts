import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import type * as bodyResources from "./body_resources.ts";
import * as bodyStorage from "./body_storage.ts";

/** Why a body could not be read. */
export type BodyFailure =
  | { kind: "too-large"; limit: number }
  /** It was not complete within its time. */
  | { kind: "too-slow" }
  /** Its caller left, or what came is no body. */
  | { kind: "broken" };

/** Under which terms a body is read. */
export interface BodyTerms {
  /** Longest body, in bytes. */
  limit: number;
  /** Time for the body to come to its end. */
  timeoutMilliseconds: number;
  resources: bodyResources.BodyResources;
}

const EMPTY = Buffer.alloc(0);

/** Length of a body as its head tells it; `undefined` if it does not. */
export function announcedLength(
  request: http.IncomingMessage,
): number | undefined {
  const { "transfer-encoding": coding, "content-length": length } =
    request.headers;
  if (coding !== undefined) return undefined;
  return Number(length ?? 0);
}

/**
 * Reads a request body up to a limit. The limit is checked as bytes arrive: a
 * declared length can be absent or wrong, and memory is bounded either way. What
 * comes after a failure is dropped.
 */
export function readBody(
  request: http.IncomingMessage,
  terms: BodyTerms,
): Promise<neverthrow.Result<Buffer, BodyFailure>> {
  const announced = announcedLength(request);
  if (announced === 0) return Promise.resolve(neverthrow.ok(EMPTY));
  if (announced !== undefined && announced > terms.limit) {
    const { limit } = terms;
    return Promise.resolve(neverthrow.err({ kind: "too-large", limit }));
  }
  return new BodyReader(request, terms, announced).result;
}

/** Reads one body. */
class BodyReader {
  readonly result: Promise<neverthrow.Result<Buffer, BodyFailure>>;
  readonly #storage: bodyStorage.BodyStorage;
  readonly #timer: NodeJS.Timeout;
  #settle: (result: neverthrow.Result<Buffer, BodyFailure>) => void = () => {};

  constructor(
    readonly request: http.IncomingMessage,
    readonly terms: BodyTerms,
    announced: number | undefined,
  ) {
    const { limit, timeoutMilliseconds } = terms;
    this.result = new Promise((resolve) => (this.#settle = resolve));
    this.#storage = new bodyStorage.BodyStorage(announced, limit);
    this.#timer = setTimeout(
      () => this.#fail({ kind: "too-slow" }),
      timeoutMilliseconds,
    );
    request.on("data", this.#take);
    request.once("end", this.#complete);
    request.once("close", this.#break);
    request.on("error", this.#break);
  }

  readonly #take = (piece: Buffer): void => {
    this.terms.resources.turns.note(this.request, piece);
    const { limit } = this.terms;
    if (this.#storage.size + piece.length <= limit) this.#storage.add(piece);
    else this.#fail({ kind: "too-large", limit });
  };

  readonly #complete = (): void =>
    this.#end(neverthrow.ok(this.#storage.content));

  readonly #break = (): void => this.#fail({ kind: "broken" });

  #fail(failure: BodyFailure): void {
    this.#end(neverthrow.err(failure));
  }

  #end(result: neverthrow.Result<Buffer, BodyFailure>): void {
    const { request } = this;
    clearTimeout(this.#timer);
    request.off("data", this.#take);
    request.off("end", this.#complete);
    request.off("close", this.#break);
    request.off("error", this.#break);
    // Without a listener an error of the request would end the process.
    request.on("error", () => {});
    this.#settle(result);
  }
}
