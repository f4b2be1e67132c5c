import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as connectionEnd from "./connection_end.ts";
import type * as trackedConnection from "./tracked_connection.ts";

/** One request of a caller and its answer, on the caller's connection. */
export class CallerExchange {
  readonly startedAt = common.now();
  /** Identifier of the request in log lines; empty until it is known. */
  identifier = "";
  readonly #left = new AbortController();

  constructor(
    readonly connection: trackedConnection.TrackedConnection,
    readonly incoming: http.IncomingMessage,
    readonly response: http.ServerResponse,
  ) {
    response.once("close", () => {
      if (!response.writableFinished) this.#left.abort();
      connection.unanswered.delete(this);
    });
  }

  /** Aborts when the connection ends before the whole answer has left. */
  get disconnected(): AbortSignal {
    return this.#left.signal;
  }

  /**
   * Ends the connection without ending the answer, so that the caller cannot
   * take part of it for the whole.
   */
  breakOff(reason: string): void {
    const kind = connectionEnd.ConnectionEndKind.AnswerBrokenOff;
    this.connection.noteEnd({ kind, reason });
    this.response.destroy();
  }
}
