import * as common from "@geraniumkeel/common";

/** Part of the free memory that one answer may take. */
const MAX_SHARE_OF_FREE = 0.5;
/** How often a delivery that waits checks for room; each release wakes it. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;

/**
 * Memory for complete answers until their callers have taken them. An answer
 * takes at most a share of what is free, so that long answers to slow callers
 * leave room for shorter ones.
 */
export class AnswerDeliveries {
  #bytes = 0;
  readonly #released = new common.ChangeNotice();

  /** With the bytes of all complete answers that a process may hold. */
  constructor(readonly maxBytes: number) {}

  /** Bytes that are held now. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Takes memory for an answer of this length if it has room now; the returned
   * function gives it back.
   */
  reserve(bytes: number): (() => void) | undefined {
    const free = this.maxBytes - this.#bytes;
    if (bytes > free * MAX_SHARE_OF_FREE) return undefined;
    this.#bytes += bytes;
    return () => {
      this.#bytes -= bytes;
      this.#released.announce();
    };
  }

  /** Takes memory as soon as there is room; not after the signal aborts. */
  async reserveLater(
    bytes: number,
    signal: AbortSignal,
  ): Promise<(() => void) | undefined> {
    while (!signal.aborted) {
      const release = this.reserve(bytes);
      if (release) return release;
      await this.#released.next(CHECK_INTERVAL_MILLISECONDS, signal);
    }
    return undefined;
  }

  /**
   * Delivers an answer for which memory was taken, and gives it back at the end,
   * also if the answer can't be written and the delivery throws as it begins.
   */
  static deliver(
    release: () => void,
    begin: () => Promise<boolean>,
  ): Promise<boolean> {
    let delivery: Promise<boolean>;
    try {
      delivery = begin();
    } catch (cause) {
      release();
      throw cause;
    }
    return delivery.finally(release);
  }
}
