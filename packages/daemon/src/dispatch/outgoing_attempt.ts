import * as common from "@geraniumkeel/common";
import type * as bodySender from "./body_sender.ts";
import * as wire from "@geraniumkeel/wire";

/**
 * Kinds of events that affect an attempt. The values do not leave this process;
 * `lost` and `held` differ from the names of their members.
 */
export enum AttemptEventKind {
  Refused = "refused",
  Head = "head",
  Pieces = "pieces",
  End = "end",
  /**
   * The upstream process has no record of the attempt and reported its state,
   * or the attempt could not be sent.
   */
  StateReported = "settled",
  /**
   * The upstream process was replaced; the new one does not know the attempt.
   */
  UpstreamReplaced = "lost",
  /**
   * The entry gives up the attempt: there was no link to the runner for the
   * time `settleAfter`, the directory removed the runner, or the entry is
   * stopping.
   */
  Unreachable = "unreachable",
  Deadline = "deadline",
  CallerGone = "caller-gone",
  /** The quarantine stopped the request. */
  Quarantined = "held",
}

/** An event that affects an attempt. */
export type AttemptEvent =
  | { kind: AttemptEventKind.Refused; reason: wire.RefusalReason }
  | { kind: AttemptEventKind.Head; head: wire.AnswerHead }
  | { kind: AttemptEventKind.Pieces; pieces: wire.AnswerPiece[] }
  | { kind: AttemptEventKind.End; end: wire.AttemptEnd }
  | { kind: AttemptEventKind.StateReported; state: wire.AttemptState }
  | { kind: AttemptEventKind.UpstreamReplaced }
  | { kind: AttemptEventKind.Unreachable }
  | { kind: AttemptEventKind.Deadline }
  | { kind: AttemptEventKind.CallerGone }
  | { kind: AttemptEventKind.Quarantined };

/**
 * An attempt on the side of the entry that sent it or collects its answer. It
 * turns the runner's messages into events, each part of the answer once and in
 * order, even if the runner repeats some on a new link.
 */
export class OutgoingAttempt {
  readonly events = new common.Channel<AttemptEvent>();
  /** Number of the next expected piece of the answer, from 0. */
  nextOffset = 0;
  #headReceived = false;

  constructor(
    readonly attempt: wire.Attempt,
    /** Pieces that the runner may send ahead of acknowledgements. */
    readonly window: number,
    /** Rest of the request body, if it is sent in pieces. */
    readonly body: bodySender.BodySender | undefined = undefined,
  ) {}

  /** Accepts the head of the answer; ignores one repeated after a resume. */
  receiveHead(head: wire.AnswerHead): void {
    if (this.#headReceived) return;
    this.#headReceived = true;
    this.events.push({ kind: AttemptEventKind.Head, head });
  }

  /**
   * Accepts pieces from an offset on. After a resume the runner may repeat some
   * pieces; those are dropped. Missing pieces break the answer off: the entry
   * asks for pieces only when it resumes an attempt, and not within a link.
   */
  receivePieces(offset: number, pieces: wire.AnswerPiece[]): void {
    if (offset > this.nextOffset) return this.#breakOff("pieces missing");
    const fresh = pieces.slice(this.nextOffset - offset);
    if (fresh.length === 0) return;
    this.nextOffset += fresh.length;
    this.events.push({ kind: AttemptEventKind.Pieces, pieces: fresh });
  }

  /**
   * Accepts the end of the answer. If the runner reports the answer complete
   * but pieces are missing, the answer breaks off. Other ends need no pieces.
   */
  receiveEnd(offset: number, end: wire.AttemptEnd): void {
    const complete = end.kind === wire.EndKind.Complete;
    if (complete && offset !== this.nextOffset) {
      return this.#breakOff("end before all pieces");
    }
    this.events.push({ kind: AttemptEventKind.End, end });
  }

  /** Ends the answer as broken off, without a message of the runner. */
  #breakOff(reason: string): void {
    const { Broken } = wire.EndKind;
    const end: wire.AttemptEnd = { kind: Broken, reason, endedLife: "" };
    this.events.push({ kind: AttemptEventKind.End, end });
  }
}
