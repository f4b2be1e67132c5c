import * as wire from "@geraniumkeel/wire";

/** Pieces sent at most, counted from the one that was last requested. */
const MAX_PIECES_AHEAD = 8;

interface Piece {
  bytes: Uint8Array;
  /** Whether the body continues after this piece, ends, or breaks off. */
  ends: wire.BodyEnd;
}

/**
 * Sends the rest of a large request body to an upstream process, which asks for
 * each piece when its service has consumed the one before. The sender retains
 * pieces until they have arrived, so that it can send them again over a new
 * link.
 */
export class BodySender {
  #pieces: Piece[] = [];
  /** Number, from 0, of the first piece that is still retained. */
  #firstRetainedIndex = 0;
  #requestedIndex = 0;
  #isReading = false;
  #sourceEnded = false;
  #send: ((message: wire.Message) => void) | undefined;
  #identifier = "";

  constructor(readonly source: AsyncIterator<Uint8Array>) {}

  /** Begins to send the body of an attempt. */
  start(identifier: string, send: (message: wire.Message) => void): void {
    this.#identifier = identifier;
    this.#send = send;
    void this.#readAhead();
  }

  /**
   * Drops the pieces before `index`, which have all arrived, and sends the
   * retained pieces from `index` on. It also sends again those that were sent
   * before, because they may have been lost with a link. The receiver ignores
   * duplicates.
   */
  sendFrom(index: number): void {
    const arrived = index - this.#firstRetainedIndex;
    if (arrived > 0) this.#pieces.splice(0, arrived);
    this.#firstRetainedIndex = Math.max(this.#firstRetainedIndex, index);
    this.#requestedIndex = index;
    this.#pieces.forEach((piece, offset) => this.#sendPiece(offset, piece));
    void this.#readAhead();
  }

  async #readAhead(): Promise<void> {
    if (this.#isReading) return;
    this.#isReading = true;
    while (
      !this.#sourceEnded &&
      this.#nextIndex < this.#requestedIndex + MAX_PIECES_AHEAD
    ) {
      const piece = await this.#readPiece();
      this.#sourceEnded = piece.ends !== wire.BodyEnd.None;
      this.#pieces.push(piece);
      this.#sendPiece(this.#pieces.length - 1, piece);
    }
    this.#isReading = false;
  }

  get #nextIndex(): number {
    return this.#firstRetainedIndex + this.#pieces.length;
  }

  async #readPiece(): Promise<Piece> {
    try {
      const read = await this.source.next();
      if (!read.done) return { bytes: read.value, ends: wire.BodyEnd.None };
      return { bytes: new Uint8Array(), ends: wire.BodyEnd.End };
    } catch {
      return { bytes: new Uint8Array(), ends: wire.BodyEnd.Broken };
    }
  }

  #sendPiece(offset: number, piece: Piece): void {
    this.#send?.({
      kind: wire.MessageKind.BodyPiece,
      identifier: this.#identifier,
      index: this.#firstRetainedIndex + offset,
      bytes: piece.bytes,
      ends: piece.ends,
    });
  }
}
