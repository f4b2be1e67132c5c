/** Something that holds bytes of an answer, and may be given up for others. */
export interface Holder {
  /** Bytes that are held now. */
  readonly bytes: number;
  /** Whether the bytes were given up; `set` and `release` do nothing then. */
  readonly isGivenUp: boolean;
  /** Tells how many bytes are held now; may give up this holder or another one. */
  set(bytes: number): void;
  /** Tells that nothing is held any more. */
  release(): void;
}

/**
 * Bounds what a process holds of answers that are not complete. If all together
 * become too many bytes, the holder of the most is given up: bytes without end then
 * cost the requests whose far ends send them, and not those that hold little.
 */
export class HeldBytes {
  readonly #holders = new Set<OpenHolder>();
  #total = 0;

  constructor(readonly maxTotalBytes: number) {}

  /** Bytes that all holders hold. */
  get total(): number {
    return this.#total;
  }

  /** Opens a holder; `onGivenUp` has to free its bytes. */
  open(onGivenUp: () => void): Holder {
    const holder = new OpenHolder((difference) => {
      this.#total += difference;
      if (holder.bytes === 0) this.#holders.delete(holder);
      else this.#holders.add(holder);
      if (difference > 0) this.#bound();
    }, onGivenUp);
    return holder;
  }

  #bound(): void {
    while (this.#total > this.maxTotalBytes) {
      const holders = [...this.#holders];
      const largest = holders.reduce((left, right) =>
        right.bytes > left.bytes ? right : left,
      );
      largest.giveUp();
    }
  }
}

class OpenHolder implements Holder {
  #bytes = 0;
  #isGivenUp = false;

  constructor(
    /** Called after a change, with the difference in bytes. */
    readonly onChange: (difference: number) => void,
    readonly onGivenUp: () => void,
  ) {}

  get bytes(): number {
    return this.#bytes;
  }

  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  set(bytes: number): void {
    if (this.#isGivenUp) return;
    this.#change(bytes);
  }

  release(): void {
    this.set(0);
  }

  giveUp(): void {
    this.#isGivenUp = true;
    this.#change(0);
    this.onGivenUp();
  }

  #change(bytes: number): void {
    const difference = bytes - this.#bytes;
    this.#bytes = bytes;
    this.onChange(difference);
  }
}
