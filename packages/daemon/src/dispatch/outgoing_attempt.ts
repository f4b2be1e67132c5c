import * as common from "@geraniumkeel/common";
import type * as bodySender from "./body_sender.ts";
import * as wire from "@geraniumkeel/wire";

/** Kinds of thing that happen to an attempt, as its request sees them. */
export enum AttemptEventKind {
  Refused = "refused",
  Head = "head",
  Pieces = "pieces",
  End = "end",
  Settled = "settled",
  /** The upstream process was replaced: nobody can tell any more. */
  UpstreamReplaced = "lost",
  /** No link for so long that it is given up. */
  Unreachable = "unreachable",
  Deadline = "deadline",
  CallerGone = "caller-gone",
  /** It was put in quarantine. */
  Quarantined = "held",
}

/** One thing that happened to an attempt. */
export type AttemptEvent =
  | { kind: AttemptEventKind.Refused; reason: wire.RefusalReason }
  | { kind: AttemptEventKind.Head; head: wire.AnswerHead }
  | { kind: AttemptEventKind.Pieces; pieces: wire.AnswerPiece[] }
  | { kind: AttemptEventKind.End; end: wire.AttemptEnd }
  | { kind: AttemptEventKind.Settled; state: wire.AttemptState }
  | { kind: AttemptEventKind.UpstreamReplaced }
  | { kind: AttemptEventKind.Unreachable }
  | { kind: AttemptEventKind.Deadline }
  | { kind: AttemptEventKind.CallerGone }
  | { kind: AttemptEventKind.Quarantined };

/** An attempt as the entry that made it sees it. */
export class OutgoingAttempt {
  readonly events = new common.Channel<AttemptEvent>();
  /** Offset of the next piece expected. */
  nextOffset = 0;
  #headReceived = false;

  constructor(
    readonly attempt: wire.Attempt,
    readonly window: number,
    readonly body: bodySender.BodySender | undefined = undefined,
  ) {}

  /** Takes in the head of the answer; a repeated one after a resume is dropped. */
  receiveHead(head: wire.AnswerHead): void {
    if (this.#headReceived) return;
    this.#headReceived = true;
    this.events.push({ kind: AttemptEventKind.Head, head });
  }

  /**
   * Takes in pieces at an offset. After a resume some may come twice: what was
   * taken before is cut off. A gap cannot be mended here and breaks the answer.
   */
  receivePieces(offset: number, pieces: wire.AnswerPiece[]): void {
    if (offset > this.nextOffset) return this.#breakOff("pieces missing");
    const fresh = pieces.slice(this.nextOffset - offset);
    if (fresh.length === 0) return;
    this.nextOffset += fresh.length;
    this.events.push({ kind: AttemptEventKind.Pieces, pieces: fresh });
  }

  /** Takes in the end; one that comes before all pieces breaks the answer. */
  receiveEnd(offset: number, end: wire.AttemptEnd): void {
    const complete = end.kind === wire.EndKind.Complete;
    if (complete && offset !== this.nextOffset) {
      return this.#breakOff("end before all pieces");
    }
    this.events.push({ kind: AttemptEventKind.End, end });
  }

  #breakOff(reason: string): void {
    const { Broken } = wire.EndKind;
    const end: wire.AttemptEnd = { kind: Broken, reason, endedLife: "" };
    this.events.push({ kind: AttemptEventKind.End, end });
  }
}
