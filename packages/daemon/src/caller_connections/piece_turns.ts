import type * as http from "node:http";

/** Pieces below this size cost far more processor time than their bytes. */
const SMALL_PIECE_BYTES = 128;
/** Small pieces that a body may bring before it has to take turns with others. */
const MAX_PIECES = 1_000;
/** Time between two turns. One read brings small pieces for a quarter of it. */
const TURN_MILLISECONDS = 120;

/**
 * Has bodies in very small pieces take turns: one of them at a time is read on, so
 * that all together leave most of the processor's time to other requests.
 */
export class PieceTurns {
  readonly #waiting: http.IncomingMessage[] = [];
  readonly #pieces = new WeakMap<http.IncomingMessage, number>();
  #timer: NodeJS.Timeout | undefined;

  /** Notes a piece of a body; after many small ones the body waits for its turn. */
  note(request: http.IncomingMessage, piece: Buffer): void {
    if (piece.length >= SMALL_PIECE_BYTES) return;
    const pieces = (this.#pieces.get(request) ?? 0) + 1;
    this.#pieces.set(request, pieces);
    if (pieces !== MAX_PIECES) return;
    // What was read with this piece is taken first, so that nothing piles up.
    process.nextTick(() => this.#wait(request));
  }

  #wait(request: http.IncomingMessage): void {
    request.pause();
    request.socket.pause();
    this.#waiting.push(request);
    this.#timer ??= setInterval(() => this.#giveTurn(), TURN_MILLISECONDS);
  }

  #giveTurn(): void {
    const request = this.#waiting.shift();
    if (!request) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    this.#pieces.delete(request);
    request.socket.resume();
    request.resume();
  }
}
