import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import type * as bodyMemory from "./body_memory.ts";
import type * as bodyResources from "./body_resources.ts";
import * as bodyStorage from "./body_storage.ts";

/** Why a body could not be read. */
export type BodyFailure =
  | { kind: "too-large"; limit: number }
  /** It was not complete within its time. */
  | { kind: "too-slow" }
  /** There is no memory for it now. */
  | { kind: "no-memory" }
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

/** A whole body, which takes memory until it is released. */
export interface HeldBody {
  content: Buffer;
  release: () => void;
}

const EMPTY: HeldBody = { content: Buffer.alloc(0), release: () => {} };

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
): Promise<neverthrow.Result<HeldBody, BodyFailure>> {
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
  readonly result: Promise<neverthrow.Result<HeldBody, BodyFailure>>;
  readonly #storage: bodyStorage.BodyStorage;
  readonly #reservation: bodyMemory.BodyReservation;
  readonly #timer: NodeJS.Timeout;
  #settle: (result: neverthrow.Result<HeldBody, BodyFailure>) => void =
    () => {};

  constructor(
    readonly request: http.IncomingMessage,
    readonly terms: BodyTerms,
    announced: number | undefined,
  ) {
    const { limit, resources, timeoutMilliseconds } = terms;
    this.result = new Promise((resolve) => (this.#settle = resolve));
    this.#storage = new bodyStorage.BodyStorage(announced, limit);
    this.#reservation = resources.memory.open(() =>
      this.#fail({ kind: "no-memory" }),
    );
    this.#timer = setTimeout(
      () => this.#fail({ kind: "too-slow" }),
      timeoutMilliseconds,
    );
    request.on("data", this.#take);
    request.once("end", this.#complete);
    request.once("close", this.#break);
    request.on("error", this.#break);
    // An announced body is refused before any of it comes.
    if (announced !== undefined) this.#reserveFor(0);
  }

  readonly #take = (piece: Buffer): void => {
    const { limit, resources } = this.terms;
    resources.turns.note(this.request, piece);
    if (this.#storage.size + piece.length > limit)
      return this.#fail({ kind: "too-large", limit });
    if (this.#reserveFor(piece.length)) this.#storage.add(piece);
  };

  readonly #complete = (): void => {
    this.#reservation.complete();
    this.#end(
      neverthrow.ok({
        content: this.#storage.content,
        release: () => this.#reservation.release(),
      }),
    );
  };

  readonly #break = (): void => this.#fail({ kind: "broken" });

  #reserveFor(bytes: number): boolean {
    const capacity = this.#storage.capacityFor(bytes);
    if (this.#reservation.grow(capacity)) return true;
    this.#fail({ kind: "no-memory" });
    return false;
  }

  #fail(failure: BodyFailure): void {
    this.#reservation.release();
    this.#end(neverthrow.err(failure));
  }

  #end(result: neverthrow.Result<HeldBody, BodyFailure>): void {
    const { request } = this;
    clearTimeout(this.#timer);
    this.terms.resources.turns.leave(request);
    request.off("data", this.#take);
    request.off("end", this.#complete);
    request.off("close", this.#break);
    request.off("error", this.#break);
    // Without a listener an error of the request would end the process.
    request.on("error", () => {});
    this.#settle(result);
  }
}
