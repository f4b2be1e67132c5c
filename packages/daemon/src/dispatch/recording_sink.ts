import type * as wire from "@geraniumkeel/wire";
import type * as answerSink from "./answer_sink.ts";
import type * as claimStore from "./claim_store.ts";

/** Size of the largest answer body that is stored with a claim. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/**
 * Passes an answer on to another sink and records it, so that it can be stored
 * with the claim of its request if it is small enough.
 */
export class RecordingSink implements answerSink.AnswerSink {
  #head: wire.AnswerHead = { status: 200, headers: [] };
  #recorded: Buffer[] = [];
  #byteCount = 0;

  constructor(readonly inner: answerSink.AnswerSink) {}

  /** Whether the caller has received part of the answer. */
  get delivered(): boolean {
    return this.inner.delivered;
  }

  /** The recorded answer; `undefined` if it is too large to be stored. */
  get answer(): claimStore.StoredAnswer | undefined {
    if (this.#byteCount > MAX_STORED_ANSWER_BYTES) return undefined;
    const body = Buffer.concat(this.#recorded).toString("base64");
    return { head: this.#head, body };
  }

  /** Records the head and passes it on. */
  head(head: wire.AnswerHead): void {
    this.#head = head;
    this.inner.head(head);
  }

  /** Records pieces and passes them on. */
  async pieces(pieces: wire.AnswerPiece[]): Promise<void> {
    for (const piece of pieces) {
      this.#byteCount += piece.length;
      if (this.#byteCount > MAX_STORED_ANSWER_BYTES) this.#recorded = [];
      else this.#recorded.push(Buffer.from(piece));
    }
    await this.inner.pieces(pieces);
  }

  /** Drops the recorded pieces. */
  reset(): void {
    this.#recorded = [];
    this.#byteCount = 0;
    this.inner.reset();
  }
}
