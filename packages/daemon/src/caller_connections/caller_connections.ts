import type * as http from "node:http";
import type * as net from "node:net";
import * as common from "@geraniumkeel/common";
import * as callerExchange from "./caller_exchange.ts";
import * as connectionEnd from "./connection_end.ts";
import type * as inForce from "./in_force.ts";
import * as trackedConnection from "./tracked_connection.ts";

/** What tracking callers' connections needs. */
export interface CallerConnectionsParameters {
  server: http.Server;
  inForce: () => inForce.InForce;
  logger: common.Logger;
  metrics: common.Metrics;
}

/** Handles one request of a caller. */
export type ExchangeHandler = (exchange: callerExchange.CallerExchange) => void;

/**
 * Tracks the connections of callers to one server, and logs why each ended if
 * this process ended it, or if it ended before an answer had left whole.
 */
export class CallerConnections {
  readonly #open = new Map<net.Socket, trackedConnection.TrackedConnection>();
  #opened = 0;

  constructor(readonly parameters: CallerConnectionsParameters) {
    parameters.server.on("connection", (socket) => this.#track(socket));
  }

  /** Begins the exchange of a request that the server has read the head of. */
  begin(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): callerExchange.CallerExchange {
    const connection =
      this.#open.get(incoming.socket) ?? this.#track(incoming.socket);
    const exchange = new callerExchange.CallerExchange(
      connection,
      incoming,
      response,
    );
    connection.requests++;
    connection.latest = exchange;
    connection.unanswered.add(exchange);
    return exchange;
  }

  /** Logs the connections that the end of the process ends. */
  noteProcessExit(): void {
    const kind = connectionEnd.ConnectionEndKind.ProcessExit;
    for (const connection of this.#open.values()) {
      connection.noteEnd({ kind, reason: "" });
      this.#logEnd(connection);
    }
  }

  #track(socket: net.Socket): trackedConnection.TrackedConnection {
    const connection = new trackedConnection.TrackedConnection(
      ++this.#opened,
      socket,
    );
    this.#open.set(socket, connection);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#logEnd(connection);
    });
    return connection;
  }

  #logEnd(connection: trackedConnection.TrackedConnection): void {
    const { logger, metrics } = this.parameters;
    const { end, unanswered, heldBytes } = connection;
    metrics.count(common.Metric.CallerConnectionsEnded, { end: end.kind });
    const isWhole = unanswered.size === 0 && heldBytes === 0;
    if (isWhole && connectionEnd.isOrdinary(end.kind)) return;
    const { version, versionAge, signal } = this.parameters.inForce();
    logger.event(common.EventCode.CallerConnectionEnded, {
      connection: connection.number,
      ...end,
      milliseconds: Math.round(common.now() - connection.openedAt),
      requests: connection.requests,
      latest: connection.latest?.identifier,
      unanswered: [...unanswered].map(describeUnanswered),
      handedBytes: connection.handedBytes,
      heldBytes,
      version,
      versionAge: Math.round(versionAge),
      signal: signal?.name,
      signalAge: signal && Math.round(common.ageOf(signal.receivedAt)),
    });
  }
}

function describeUnanswered(exchange: callerExchange.CallerExchange): unknown {
  const { identifier, incoming, response, startedAt } = exchange;
  return {
    request: identifier,
    readWhole: incoming.complete,
    headSent: response.headersSent,
    ended: response.writableEnded,
    milliseconds: Math.round(common.now() - startedAt),
  };
}
