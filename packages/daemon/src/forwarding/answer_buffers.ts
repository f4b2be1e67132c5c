import * as common from "@geraniumkeel/common";
import type * as callerBounds from "../caller_connections/caller_bounds.ts";
import * as answerDeliveries from "./answer_deliveries.ts";
import * as answerLimits from "./answer_limits.ts";

/** Bounds on what a process holds of answers. */
export type AnswerBounds = Pick<
  callerBounds.CallerBounds,
  "answerBytes" | "deliveryBytes"
>;

const GIVEN_UP = "answers over the memory for them";
const RELEASED = "released";

/**
 * Answers that are held until they are complete, and events of streams until they
 * are; see `common.HeldBytes`.
 */
export class AnswerBuffers {
  readonly #held: common.HeldBytes;
  /** Answers that are complete and on their way to their callers. */
  readonly deliveries: answerDeliveries.AnswerDeliveries;

  constructor({ answerBytes, deliveryBytes }: AnswerBounds) {
    this.#held = new common.HeldBytes(answerBytes);
    this.deliveries = new answerDeliveries.AnswerDeliveries(deliveryBytes);
  }

  /** Bytes that are held of answers that are not complete. */
  get bytes(): number {
    return this.#held.total;
  }

  /** Opens the buffer of an answer; `release` must be called on it. */
  open(): AnswerBuffer {
    return new AnswerBuffer(this.#held);
  }

  /** Opens a count of bytes held elsewhere; `release` must be called on it. */
  openCount(): HeldCount {
    return new HeldCount(this.#held);
  }
}

/** Bytes of one answer that something else holds. */
export class HeldCount {
  readonly #holder: common.Holder;
  readonly #dropped = new AbortController();

  constructor(held: common.HeldBytes) {
    this.#holder = held.open(() => this.#dropped.abort());
  }

  /** Aborts when the bytes have to be dropped, for other answers. */
  get dropped(): AbortSignal {
    return this.#dropped.signal;
  }

  /** Why the answer is given up; `undefined` if it is not. */
  get problem(): string | undefined {
    return this.#holder.isGivenUp ? GIVEN_UP : undefined;
  }

  /** Tells how many bytes are held now. */
  set(bytes: number): void {
    this.#holder.set(bytes);
  }

  /** Tells that nothing is held any more. */
  release(): void {
    this.#holder.release();
  }
}

/** One answer that is held until it is complete. */
export class AnswerBuffer {
  #pieces: Buffer[] = [];
  #bytes = 0;
  #problem: string | undefined;
  readonly #holder: common.Holder;
  readonly #dropped = new AbortController();

  constructor(held: common.HeldBytes) {
    this.#holder = held.open(() => this.#drop(GIVEN_UP));
  }

  /** Bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Why the answer is given up; `undefined` if it is not. */
  get problem(): string | undefined {
    return this.#problem;
  }

  /** Aborts when the answer is given up. */
  get dropped(): AbortSignal {
    return this.#dropped.signal;
  }

  /** Adds a piece. */
  push(piece: Buffer): void {
    if (this.#problem !== undefined) return;
    this.#pieces.push(piece);
    this.#bytes += piece.length;
    if (this.#bytes > answerLimits.MAX_HELD_BYTES)
      this.#drop(`answer over ${answerLimits.MAX_HELD_BYTES} bytes`);
    this.#holder.set(this.#bytes);
  }

  /** All pieces in one. */
  join(): Buffer {
    return Buffer.concat(this.#pieces);
  }

  /**
   * Frees what is held. Pieces that come later are dropped: an attempt that was given
   * up may still read, and nobody would release what it adds.
   */
  release(): void {
    this.#problem ??= RELEASED;
    this.#pieces = [];
    this.#bytes = 0;
    this.#holder.release();
  }

  #drop(problem: string): void {
    this.#problem = problem;
    this.#pieces = [];
    this.#bytes = 0;
    this.#dropped.abort();
  }
}
