import type * as wire from "@geraniumkeel/wire";

/**
 * Receives the parts of an answer as they arrive and passes them to the caller.
 */
export interface AnswerSink {
  /** Whether the caller has received part of the answer. */
  readonly delivered: boolean;
  /** Passes on the status and headers of a plain service's answer. */
  head(head: wire.AnswerHead): void;
  /**
   * Passes on pieces. Resolves once the caller is ready for more, so that a
   * slow caller slows the sender.
   */
  pieces(pieces: wire.AnswerPiece[]): Promise<void>;
  /**
   * Drops what has arrived of an answer, before another attempt. Called only
   * while the caller has received nothing.
   */
  reset(): void;
}
