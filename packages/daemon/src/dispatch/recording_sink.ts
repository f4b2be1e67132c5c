import type * as wire from "@geraniumkeel/wire";
import type * as answerSink from "./answer_sink.ts";
import type * as claimStore from "./claim_store.ts";

/** Bytes of an answer that a claim may hold. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** Passes an answer on and keeps it, if it is small, for the claim. */
export class RecordingSink implements answerSink.AnswerSink {
  #head: wire.AnswerHead = { status: 200, headers: [] };
  #recorded: Buffer[] = [];
  #byteCount = 0;

  constructor(readonly inner: answerSink.AnswerSink) {}

  /** Whether the caller has received part of the answer. */
  get delivered(): boolean {
    return this.inner.delivered;
  }

  /** The answer, or `undefined` if it is too large to keep. */
  get answer(): claimStore.StoredAnswer | undefined {
    if (this.#byteCount > MAX_STORED_ANSWER_BYTES) return undefined;
    const body = Buffer.concat(this.#recorded).toString("base64");
    return { head: this.#head, body };
  }

  /** Keeps and passes on the head. */
  head(head: wire.AnswerHead): void {
    this.#head = head;
    this.inner.head(head);
  }

  /** Keeps and passes on pieces. */
  async pieces(pieces: wire.AnswerPiece[]): Promise<void> {
    for (const piece of pieces) {
      this.#byteCount += piece.length;
      if (this.#byteCount > MAX_STORED_ANSWER_BYTES) this.#recorded = [];
      else this.#recorded.push(Buffer.from(piece));
    }
    await this.inner.pieces(pieces);
  }

  /** Forgets what was kept. */
  reset(): void {
    this.#recorded = [];
    this.#byteCount = 0;
    this.inner.reset();
  }
}
