import * as wire from "@geraniumkeel/wire";

/** Pieces of a body sent ahead of those wanted. */
const WINDOW = 8;

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
  #base = 0;
  #wanted = 0;
  #pulling = false;
  #ended = false;
  #send: ((message: wire.Message) => void) | undefined;
  #identifier = "";

  constructor(readonly source: AsyncIterator<Uint8Array>) {}

  /** Begins to send for an attempt. */
  start(identifier: string, send: (message: wire.Message) => void): void {
    this.#identifier = identifier;
    this.#send = send;
    void this.#pull();
  }

  /** The runner has all pieces before `index`, and is ready for it. */
  want(index: number): void {
    const known = index - this.#base;
    if (known > 0) this.#pieces.splice(0, known);
    this.#base = Math.max(this.#base, index);
    this.#wanted = index;
    this.#pieces.forEach((piece, offset) => this.#sendPiece(offset, piece));
    void this.#pull();
  }

  async #pull(): Promise<void> {
    if (this.#pulling) return;
    this.#pulling = true;
    while (!this.#ended && this.#next < this.#wanted + WINDOW) {
      const piece = await this.#read();
      this.#ended = piece.ends !== wire.BodyEnd.None;
      this.#pieces.push(piece);
      this.#sendPiece(this.#pieces.length - 1, piece);
    }
    this.#pulling = false;
  }

  get #next(): number {
    return this.#base + this.#pieces.length;
  }

  async #read(): Promise<Piece> {
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
      index: this.#base + offset,
      bytes: piece.bytes,
      ends: piece.ends,
    });
  }
}
