import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/**
 * The rest of a request body as it arrives, in order and each piece once,
 * whatever links it came over.
 */
export class BodyReceiver {
  readonly #pieces = new common.Channel<{
    bytes: Uint8Array;
    ends: wire.BodyEnd;
  }>();
  #next = 0;

  constructor(readonly want: (index: number) => void) {}

  /** Number of the next piece expected. */
  get next(): number {
    return this.#next;
  }

  /** Takes in a piece; one out of order is asked for again on a new link. */
  take(index: number, bytes: Uint8Array, ends: wire.BodyEnd): void {
    if (index !== this.#next) return;
    this.#next++;
    this.#pieces.push({ bytes, ends });
  }

  /** No more will come. */
  close(): void {
    this.#pieces.push({ bytes: new Uint8Array(), ends: wire.BodyEnd.Broken });
  }

  /** The body from its beginning; throws if it breaks off. */
  async *read(beginning: Uint8Array): AsyncGenerator<Uint8Array, void, void> {
    if (beginning.byteLength > 0) yield beginning;
    for await (const { bytes, ends } of this.#pieces) {
      switch (ends) {
        case wire.BodyEnd.None:
          yield bytes;
          // Asked for only once the service took the last: its pace is kept.
          this.want(this.#next);
          break;
        case wire.BodyEnd.End:
          return;
        case wire.BodyEnd.Broken:
          throw new Error("the caller's body broke off");
      }
    }
  }
}
