import type * as wire from "@geraniumkeel/wire";

/** Where an answer goes as it arrives. */
export interface AnswerSink {
  /** Whether the caller has received part of the answer. */
  readonly delivered: boolean;
  /** Passes on status and headers of a plain service's answer. */
  head(head: wire.AnswerHead): void;
  /** Passes on pieces; resolves at the caller's pace. */
  pieces(pieces: wire.AnswerPiece[]): Promise<void>;
  /** Forgets an answer of which nothing was delivered. */
  reset(): void;
}
