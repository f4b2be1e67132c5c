import type * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import type * as provenValue from "./proven_value.ts";

/** A look at a document's source. */
export interface Reading<T extends provenValue.Versioned> {
  /** The newest document; `undefined` if there is none yet. */
  value: T | undefined;
  /** When the look began, if that was before it was asked for. */
  startedAt?: common.Instant;
  /** Epoch of the table in which the rows were read, if the source tells it. */
  epoch?: number;
}

/** Why a source gave no reading. */
export enum SourceFailureKind {
  /** It did not answer, or would not. */
  Unavailable = "unavailable",
  /** It answered with something that is no document. */
  Unreadable = "unreadable",
}

/** A look that failed. */
export interface SourceFailure {
  kind: SourceFailureKind;
  reason: string;
}

/** Where the newest version of a document is kept for good. */
export interface DocumentSource<T extends provenValue.Versioned> {
  /**
   * The newest document, at once if it changed since the last look, else as
   * soon as it changes or the wait is over. `held`: what this process has of the
   * document, also from others.
   */
  next(
    waitMilliseconds: number,
    held?: provenValue.ProvenValue<T>,
  ): Promise<neverthrow.Result<Reading<T>, SourceFailure>>;
}
