import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as answerSubscription from "./answer_subscription.ts";
import * as bodyReceiver from "./body_receiver.ts";

/** Bytes of one answer kept for an entry that is gone, before it is broken. */
const LARGEST_KEPT_BYTES = 4 * 1024 * 1024;
/** Pieces sent in one message at most. */
const LARGEST_BATCH = 64;

/**
 * One attempt as the upstream process knows it: what it produced, which links
 * follow it and how far, how it ended. An answer that may be repeated is kept
 * until acknowledged; one that may not is kept whole until released, so that
 * another entry can still collect it.
 */
export class AttemptRecord {
  readonly startedAt = common.now();
  readonly abort = new AbortController();
  /** When it ended, by this process's clock. */
  endedAt: number | undefined;
  /** When its last subscriber was lost. */
  orphanedAt: number | undefined;
  /** The claim that names it, if the table service has one. */
  claim: wire.AttemptClaim | undefined;
  readonly #subscriptions: answerSubscription.AnswerSubscription[] = [];
  /** Rest of the request body, if it follows in pieces. */
  readonly body: bodyReceiver.BodyReceiver;
  #head: wire.AnswerHead | undefined;
  #pieces: wire.AnswerPiece[] = [];
  /** Offset of the first piece kept. */
  #base = 0;
  #keptBytes = 0;
  #end: wire.AttemptEnd | undefined;
  #flushScheduled = false;
  readonly #changed = new common.ChangeNotice();

  constructor(
    readonly attempt: wire.Attempt,
    readonly repeatable: boolean,
    subscriber: wire.Link,
    window: number,
    readonly promptTokens: number,
  ) {
    this.#subscriptions.push(
      new answerSubscription.AnswerSubscription(subscriber, 0, window),
    );
    this.body = new bodyReceiver.BodyReceiver((index) => this.#want(index));
  }

  /** How it ended, or `undefined` while it runs. */
  get end(): wire.AttemptEnd | undefined {
    return this.#end;
  }

  /** Pieces produced so far. */
  get produced(): number {
    return this.#base + this.#pieces.length;
  }

  /** Sets status and headers of the answer. */
  setHead(head: wire.AnswerHead): void {
    this.#head = head;
    for (const { link } of this.#subscriptions) this.#sendHead(link);
  }

  /** Adds a piece; sent at once as far as the windows allow. */
  append(piece: wire.AnswerPiece): void {
    this.#pieces.push(piece);
    this.#keptBytes += piece.length;
    this.#scheduleFlush();
  }

  /** Records how it ended; only the first end counts. */
  finish(end: wire.AttemptEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.endedAt = common.now();
    this.#scheduleFlush();
  }

  /**
   * Resolves when more may be produced: back-pressure from the caller's pace to
   * the engine. An orphan that may not be repeated goes on, within a bound, as
   * its answer can still be collected. Resolves to false when it must stop.
   */
  async room(): Promise<boolean> {
    for (;;) {
      if (this.abort.signal.aborted) return false;
      if (this.#subscriptions.length === 0 && !this.repeatable) {
        return this.#keptBytes <= LARGEST_KEPT_BYTES;
      }
      const limits = this.#subscriptions.map(({ limit }) => limit);
      if (this.produced < Math.max(...limits)) return true;
      await this.#changed.next(1_000, this.abort.signal);
    }
  }

  /** A subscriber has passed on everything before `offset`. */
  acknowledge(link: wire.Link, offset: number): void {
    const subscription = this.#subscriptionOf(link);
    if (!subscription || offset <= subscription.acknowledged) return;
    subscription.acknowledged = Math.min(offset, this.produced);
    if (this.repeatable) this.#dropBefore(subscription.acknowledged);
    this.#changed.announce();
    this.#scheduleFlush();
  }

  /** Goes on over another link from `offset`. */
  resume(link: wire.Link, offset: number, window: number): void {
    this.detach(link);
    this.orphanedAt = undefined;
    this.#subscriptions.push(
      new answerSubscription.AnswerSubscription(link, offset, window),
    );
    if (offset < this.#base || offset > this.produced) {
      return this.#sendEnd(link, offset, {
        kind: wire.EndKind.Broken,
        reason: "pieces no longer kept",
        endedLife: "",
      });
    }
    this.#sendHead(link);
    this.#want(this.body.next);
    this.#scheduleFlush();
    this.#changed.announce();
  }

  /** Forgets a subscriber whose link has ended. */
  detach(link: wire.Link): void {
    const subscription = this.#subscriptionOf(link);
    if (!subscription) return;
    this.#subscriptions.splice(this.#subscriptions.indexOf(subscription), 1);
    if (this.#subscriptions.length === 0) this.orphanedAt = common.now();
    this.#changed.announce();
  }

  /** Whether a link carries this answer. */
  isFollowedBy(link: wire.Link): boolean {
    return this.#subscriptionOf(link) !== undefined;
  }

  /** Drops the answer: it has been delivered and is needed no more. */
  release(): void {
    this.#base = this.produced;
    this.#pieces = [];
    this.#keptBytes = 0;
    this.#subscriptions.length = 0;
  }

  /** Stops the work; its end is then reported by its task. */
  cancel(): void {
    this.abort.abort();
    this.body.close();
    this.#changed.announce();
  }

  #want(index: number): void {
    const { identifier } = this.attempt;
    const kind = wire.MessageKind.BodyWanted;
    for (const { link } of this.#subscriptions) {
      link.send({ kind, identifier, index });
    }
  }

  #subscriptionOf(
    link: wire.Link,
  ): answerSubscription.AnswerSubscription | undefined {
    return this.#subscriptions.find((one) => one.link === link);
  }

  #sendHead(link: wire.Link): void {
    if (!this.#head) return;
    const { identifier } = this.attempt;
    const kind = wire.MessageKind.Head;
    link.send({ kind, identifier, head: this.#head });
  }

  #sendEnd(link: wire.Link, offset: number, end: wire.AttemptEnd): void {
    const { identifier } = this.attempt;
    link.send({ kind: wire.MessageKind.End, identifier, offset, end });
  }

  /** Pieces produced in one turn of the event loop share a message. */
  #scheduleFlush(): void {
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    setImmediate(() => {
      this.#flushScheduled = false;
      for (const subscription of this.#subscriptions) this.#flush(subscription);
    });
  }

  #flush(subscription: answerSubscription.AnswerSubscription): void {
    const { link } = subscription;
    const { identifier } = this.attempt;
    const limit = Math.min(this.produced, subscription.limit);
    while (subscription.sent < limit) {
      const offset = subscription.sent;
      const until = Math.min(limit, offset + LARGEST_BATCH);
      const pieces = this.#pieces.slice(
        offset - this.#base,
        until - this.#base,
      );
      subscription.sent = until;
      const kind = wire.MessageKind.Pieces;
      link.send({ kind, identifier, offset, pieces });
    }
    if (!this.#end || subscription.endSent) return;
    const whole = subscription.sent >= this.produced;
    if (!whole) return;
    subscription.endSent = true;
    this.#sendEnd(link, this.produced, this.#end);
  }

  #dropBefore(offset: number): void {
    const count = offset - this.#base;
    if (count <= 0) return;
    for (const piece of this.#pieces.splice(0, count)) {
      this.#keptBytes -= piece.length;
    }
    this.#base = offset;
  }
}
