import type * as net from "node:net";
import * as common from "@geraniumkeel/common";
import type * as callerExchange from "./caller_exchange.ts";
import * as connectionEnd from "./connection_end.ts";

/**
 * How long a connection that this process has ended is kept, so that the caller
 * can end its side. Closing it with bytes of the caller unread would reset it,
 * and the caller could lose the end of its last answer.
 */
const LINGER_MILLISECONDS = 500;
/** The same for a caller that is still sending a body that was refused. */
const LINGER_OVER_BODY_MILLISECONDS = 2_000;

/** One connection of a caller, from its opening to its end. */
export class TrackedConnection {
  readonly openedAt = common.now();
  /** Requests of which the head was read. */
  requests = 0;
  /** Request that was read last; `undefined` before the first. */
  latest: callerExchange.CallerExchange | undefined;
  /**
   * Requests without a whole answer, in the order in which they were read. The
   * first is being handled, the others wait for it.
   */
  readonly unanswered: callerExchange.CallerExchange[] = [];
  /** How long the caller was told that the connection may be idle. */
  promisedIdleMilliseconds = 0;
  /** Memory that the heads of requests without an answer take. */
  readonly heads: common.Holder;
  #quietSince = this.openedAt;
  #idleSince = this.openedAt;
  #readBytes = 0;
  #end: connectionEnd.ConnectionEnd | undefined;
  #endedAt: number | undefined;
  #callerEnded = false;
  #leftBytes = 0;
  #progressAt = this.openedAt;

  constructor(
    /** Number of the connection, for log lines. */
    readonly number: number,
    readonly socket: net.Socket,
    heldHeads: common.HeldBytes,
  ) {
    const kind = connectionEnd.ConnectionEndKind.TooManyRequests;
    const reason = "no memory for heads of requests";
    this.heads = heldHeads.open(() => this.destroy({ kind, reason }));
    socket.once("end", () => (this.#callerEnded = true));
    socket.once("error", () => (this.#callerEnded = true));
    // The HTTP server closes a connection by this method after an answer that
    // says `Connection: close`, at once and with bytes of the caller unread.
    socket.destroySoon = () =>
      this.endGracefully({
        kind: connectionEnd.ConnectionEndKind.LastAnswer,
        reason: "",
      });
  }

  /** Why the connection ended, or is about to. */
  get end(): connectionEnd.ConnectionEnd {
    if (this.#end) return this.#end;
    const kind = this.#callerEnded
      ? connectionEnd.ConnectionEndKind.CallerLeft
      : connectionEnd.ConnectionEndKind.Unexplained;
    return { kind, reason: "" };
  }

  /** Notes why the connection is about to end; the first reason counts. */
  noteEnd(end: connectionEnd.ConnectionEnd): void {
    this.#end ??= end;
  }

  /** Bytes of the heads of requests without an answer. */
  get unansweredHeadBytes(): number {
    return this.unanswered.reduce((sum, { headBytes }) => sum + headBytes, 0);
  }

  /** Whether this process has ended its side of the connection. */
  get isEnding(): boolean {
    return this.#endedAt !== undefined;
  }

  /** Whether a request that is read now can still be answered. */
  get takesRequests(): boolean {
    if (this.isEnding || this.socket.destroyed) return false;
    return !this.unanswered.some(({ isLast }) => isLast);
  }

  /** Bytes of answers that were handed to the connection. */
  get handedBytes(): number {
    return this.socket.bytesWritten;
  }

  /** Bytes of answers that the process still holds. */
  get heldBytes(): number {
    return this.socket.writableLength;
  }

  /** When it was opened, or its last request was answered. */
  get quietSince(): number {
    return this.#quietSince;
  }

  /**
   * Milliseconds since the last request was answered and anything was read; 0
   * while a request is not answered.
   */
  idleMilliseconds(now: number): number {
    const { bytesRead } = this.socket;
    // The rest of a body that was refused may still be on its way.
    if (bytesRead !== this.#readBytes) this.#idleSince = now;
    this.#readBytes = bytesRead;
    return this.unanswered.length > 0 ? 0 : now - this.#idleSince;
  }

  /** Notes that a request was answered, or its connection closed. */
  remove(exchange: callerExchange.CallerExchange): void {
    const index = this.unanswered.indexOf(exchange);
    if (index < 0) return;
    this.unanswered.splice(index, 1);
    exchange.release();
    this.#idleSince = common.now();
    this.#quietSince = this.#idleSince;
  }

  /**
   * Drops the request that was read last if its body can't come to its end any more:
   * its handling waits for the body, so nothing would ever answer it. Returns it.
   */
  dropIncomplete(): callerExchange.CallerExchange | undefined {
    const [last] = this.unanswered.slice(-1);
    if (!last || last.incoming.complete) return undefined;
    this.remove(last);
    return last;
  }

  /**
   * Says in the answers that are still to begin whether the connection closes
   * after them. Only the last one may say so: requests that were read behind it
   * would get no answer.
   */
  announceClosing(closes: boolean): void {
    const last = this.unanswered.length - 1;
    this.unanswered.forEach((exchange, index) =>
      exchange.keepOpenAfter(!closes || index < last),
    );
  }

  /**
   * Ends the connection after all that was handed to it. Bytes of the caller are
   * read and dropped until it ends its side, or for a while.
   */
  endGracefully(end: connectionEnd.ConnectionEnd): void {
    this.noteEnd(end);
    if (this.#endedAt !== undefined) return;
    this.#endedAt = common.now();
    this.socket.end();
    this.#dropInput();
  }

  /**
   * Has what still comes dropped before it reaches the parser, which would look at
   * each chunk of a body, and at each further request, of a caller without end.
   */
  #dropInput(): void {
    const { socket } = this;
    socket.removeAllListeners("data");
    socket.on("data", () => {});
    socket.resume();
  }

  /** Ends the connection at once; what it still holds is lost. */
  destroy(end: connectionEnd.ConnectionEnd): void {
    this.noteEnd(end);
    this.socket.destroy();
  }

  /**
   * Whether nothing is lost if the connection is closed now: it was ended, all
   * that it held has left, and the caller has had time to end its side.
   */
  isSpent(now: number): boolean {
    if (this.#endedAt === undefined || this.heldBytes > 0) return false;
    const isWithinBody = this.latest?.incoming.complete === false;
    const linger = isWithinBody
      ? LINGER_OVER_BODY_MILLISECONDS
      : LINGER_MILLISECONDS;
    return now - this.#endedAt >= linger;
  }

  /** Milliseconds for which the caller has taken nothing of what is held. */
  stalledMilliseconds(now: number): number {
    const leftBytes = this.handedBytes - this.heldBytes;
    if (this.heldBytes === 0 || leftBytes !== this.#leftBytes) {
      this.#leftBytes = leftBytes;
      this.#progressAt = now;
    }
    return now - this.#progressAt;
  }
}
