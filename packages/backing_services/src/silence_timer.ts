/** How many times the longest silence an answer may take as a whole. */
const LONGEST_ANSWER = 8;

/**
 * Gives up on a far end that says nothing, and not on one whose answer takes long. On a
 * slow link a large answer takes longer than any useful timeout: given up halfway and
 * asked for again, it never arrives, and the link is full of it.
 */
export class SilenceTimer {
  readonly #abort = new AbortController();
  readonly #silence: NodeJS.Timeout;
  readonly #whole: NodeJS.Timeout;

  constructor(milliseconds: number) {
    const giveUp = () => this.#abort.abort(new Error("no answer in time"));
    this.#silence = setTimeout(giveUp, milliseconds);
    this.#whole = setTimeout(giveUp, milliseconds * LONGEST_ANSWER);
  }

  /** Aborts when the far end was silent for too long. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Reads a body to its end, as long as more of it comes. */
  async read(body: AsyncIterable<Buffer>): Promise<string> {
    const pieces: Buffer[] = [];
    for await (const piece of body) {
      this.#silence.refresh();
      pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
  }

  /** Ends waiting, whatever came. */
  stop(): void {
    clearTimeout(this.#silence);
    clearTimeout(this.#whole);
  }
}
