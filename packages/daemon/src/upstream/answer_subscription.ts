import type * as wire from "@geraniumkeel/wire";

/** How far one link has got with an answer. */
export class AnswerSubscription {
  /** Offset of the next piece to send. */
  sent: number;
  acknowledged: number;
  endSent = false;

  constructor(
    readonly link: wire.Link,
    offset: number,
    readonly window: number,
  ) {
    this.sent = offset;
    this.acknowledged = offset;
  }

  /** Offset up to which pieces may be sent now. */
  get limit(): number {
    return this.acknowledged + this.window;
  }
}
