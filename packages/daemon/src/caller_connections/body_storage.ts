const FIRST_BYTES = 16 * 1024;
const EMPTY = Buffer.alloc(0);

/**
 * Collects a body in one piece of memory. Its pieces are copied: a piece of one byte
 * takes a hundred times its size as an object of its own.
 */
export class BodyStorage {
  #storage = EMPTY;
  #size = 0;

  constructor(
    /** Length of the body; `undefined` if it was not announced. */
    readonly announcedBytes: number | undefined,
    readonly maxBytes: number,
  ) {}

  /** Bytes that were collected. */
  get size(): number {
    return this.#size;
  }

  /** Bytes of memory that it takes to hold so many more bytes. */
  capacityFor(more: number): number {
    const needed = this.#size + more;
    let capacity = this.#storage.length || this.#firstBytes;
    while (capacity < needed) capacity *= 2;
    return Math.max(needed, Math.min(capacity, this.maxBytes));
  }

  /** Adds a piece; the memory for it has been taken. */
  add(piece: Buffer): void {
    const capacity = this.capacityFor(piece.length);
    if (capacity > this.#storage.length) this.#enlarge(capacity);
    piece.copy(this.#storage, this.#size);
    this.#size += piece.length;
  }

  /** All that was collected. */
  get content(): Buffer {
    return this.#storage.subarray(0, this.#size);
  }

  get #firstBytes(): number {
    return this.announcedBytes || FIRST_BYTES;
  }

  #enlarge(capacity: number): void {
    const enlarged = Buffer.allocUnsafeSlow(capacity);
    this.#storage.copy(enlarged, 0, 0, this.#size);
    this.#storage = enlarged;
  }
}
