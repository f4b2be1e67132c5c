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
  readonly #waiting = new Set<http.IncomingMessage>();
  readonly #pieces = new WeakMap<http.IncomingMessage, number>();
  #timer: NodeJS.Timeout | undefined;

  /** Bodies that wait for their turn. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Notes a piece of a body; after many small ones the body waits for its turn. */
  note(request: http.IncomingMessage, piece: Buffer): void {
    if (piece.length >= SMALL_PIECE_BYTES) return;
    const pieces = (this.#pieces.get(request) ?? 0) + 1;
    this.#pieces.set(request, pieces);
    if (pieces !== MAX_PIECES) return;
    // What was read with this piece is taken first, so that nothing piles up.
    process.nextTick(() => this.#wait(request));
  }

  /** Notes that a body is read no further, and needs no turn. */
  leave(request: http.IncomingMessage): void {
    this.#pieces.delete(request);
    if (this.#waiting.delete(request)) resume(request);
  }

  #wait(request: http.IncomingMessage): void {
    const hasLeft = !this.#pieces.has(request);
    if (hasLeft) return;
    request.pause();
    request.socket.pause();
    this.#waiting.add(request);
    this.#timer ??= setInterval(() => this.#giveTurn(), TURN_MILLISECONDS);
  }

  #giveTurn(): void {
    const [request] = this.#waiting;
    if (!request) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    this.leave(request);
  }
}

function resume(request: http.IncomingMessage): void {
  request.socket.resume();
  request.resume();
}
