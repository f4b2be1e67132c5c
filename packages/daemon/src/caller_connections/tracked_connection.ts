import type * as net from "node:net";
import * as common from "@geraniumkeel/common";
import type * as callerExchange from "./caller_exchange.ts";
import * as connectionEnd from "./connection_end.ts";

/** One connection of a caller, from its opening to its end. */
export class TrackedConnection {
  readonly openedAt = common.now();
  /** Requests of which the head was read. */
  requests = 0;
  /** Request that was read last; `undefined` before the first. */
  latest: callerExchange.CallerExchange | undefined;
  /** Requests without a whole answer, in the order in which they were read. */
  readonly unanswered = new Set<callerExchange.CallerExchange>();
  #end: connectionEnd.ConnectionEnd | undefined;
  #callerEnded = false;

  constructor(
    /** Number of the connection, for log lines. */
    readonly number: number,
    readonly socket: net.Socket,
  ) {
    socket.once("end", () => (this.#callerEnded = true));
    socket.once("error", () => (this.#callerEnded = true));
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

  /** Bytes of answers that were handed to the connection. */
  get handedBytes(): number {
    return this.socket.bytesWritten;
  }

  /** Bytes of answers that the process still holds. */
  get heldBytes(): number {
    return this.socket.writableLength;
  }
}
