import * as wire from "@geraniumkeel/wire";

/** Pieces of a body sent ahead of those wanted. */
const MAX_PIECES_AHEAD = 8;

interface Piece {
  bytes: Uint8Array;
  ends: wire.BodyEnd;
}

/**
 * Sends the rest of a request body at the pace of the service. Pieces are kept
 * until the runner has them, so that they can go again over a new link.
 */
export class BodySender {
  #pieces: Piece[] = [];
  /** Number of the first piece kept. */
  #firstRetainedIndex = 0;
  #requestedIndex = 0;
  #isReading = false;
  #sourceEnded = false;
  #send: ((message: wire.Message) => void) | undefined;
  #identifier = "";

  constructor(readonly source: AsyncIterator<Uint8Array>) {}

  /** Begins to send for an attempt. */
  start(identifier: string, send: (message: wire.Message) => void): void {
    this.#identifier = identifier;
    this.#send = send;
    void this.#readAhead();
  }

  /** The runner has all pieces before `index`, and is ready for it. */
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
