import type * as http from "node:http";
import * as net from "node:net";
import * as common from "@geraniumkeel/common";
import type * as callerBounds from "./caller_bounds.ts";
import * as callerExchange from "./caller_exchange.ts";
import * as connectionEnd from "./connection_end.ts";
import type * as inForceModule from "./in_force.ts";
import * as trackedConnection from "./tracked_connection.ts";

/**
 * Options with which a server for callers is created. By default the time-out of
 * heads is checked each 30 seconds only.
 */
export const CALLER_SERVER_OPTIONS = {
  connectionsCheckingInterval: 1_000,
  noDelay: true,
};

/** How often connections are checked for idleness and progress. */
const SWEEP_INTERVAL_MILLISECONDS = 250;
/**
 * How much longer a connection is kept than callers may leave it idle, so that
 * it is not closed just as a request comes.
 */
const IDLE_SLACK_MILLISECONDS = 1_000;
/**
 * Turns of the event loop after which all is read that came while the process
 * was held up: new connections are taken in one turn and read in the next.
 */
const READING_TURNS = 3;
/**
 * Requests that may wait on one connection behind another one. Callers send the next
 * request when they have the answer.
 */
const MAX_WAITING_REQUESTS = 16;
/** How often a closing process checks whether all connections are closed. */
const CLOSE_CHECK_INTERVAL_MILLISECONDS = 20;

const HEAD_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
const HEAD_TOO_LARGE_CODE = "HPE_HEADER_OVERFLOW";

/** How long callers may take. */
export interface ConnectionLimits {
  /** Longest time between an answer and the next request. */
  idleMilliseconds: number;
  /** Longest time for the head of a request. */
  headerMilliseconds: number;
  /** Longest time for which a caller takes nothing of an answer. */
  stallMilliseconds: number;
}

/** What serving callers' connections needs. */
export interface CallerConnectionsParameters {
  /** A server created with `CALLER_SERVER_OPTIONS`. */
  server: http.Server;
  /**
   * Begins to take one request in; the returned function handles it, once those before
   * it on its connection are answered. Bodies are read meanwhile: what the HTTP server
   * collects of one that nobody reads is not bounded by its bytes.
   */
  begin: (exchange: callerExchange.CallerExchange) => () => Promise<unknown>;
  limits: () => ConnectionLimits;
  /** Bounds on what all callers together make the process hold. */
  bounds: callerBounds.CallerBounds;
  inForce: () => inForceModule.InForce;
  lifeCycle: common.LifeCycle;
  logger: common.Logger;
  metrics: common.Metrics;
}

/**
 * The connections of callers to one server. Requests on one connection are
 * handled one after the other. Each connection that this process ends is ended
 * here, for a reason that is logged; so is one that ends before an answer has
 * left whole.
 */
export class CallerConnections {
  readonly #open = new Map<net.Socket, trackedConnection.TrackedConnection>();
  /** Heads of requests that are not answered. */
  readonly #heads: common.HeldBytes;
  #opened = 0;
  #closesAfterAnswers = false;
  #closing = false;

  constructor(readonly parameters: CallerConnectionsParameters) {
    const { server, lifeCycle, bounds } = parameters;
    this.#heads = new common.HeldBytes(bounds.headBytes);
    server.on("connection", (socket) => this.#track(socket));
    server.on("request", (incoming, response) =>
      this.#receive(incoming, response),
    );
    server.on("checkContinue", (incoming, response) =>
      this.#receive(incoming, response, true),
    );
    server.on("clientError", (cause, socket) =>
      this.#endUnreadable(cause, socket as net.Socket),
    );
    // With a listener of this event the server does not close idle connections
    // itself: it does so also if a request came while the process was held up.
    server.on("timeout", () => {});
    server.requestTimeout = 0;
    this.#applyLimits();
    lifeCycle.every(SWEEP_INTERVAL_MILLISECONDS, () => this.#sweep());
    const noteExit = () => this.#noteProcessExit();
    process.once("exit", noteExit);
    lifeCycle.own({
      name: "caller-connections",
      close: () => {
        process.off("exit", noteExit);
      },
    });
  }

  /** Lets each answer that is still to begin close its connection. */
  closeAfterAnswers(): void {
    this.#closesAfterAnswers = true;
    for (const connection of this.#open.values())
      connection.announceClosing(true);
  }

  /**
   * Takes no new connections, and ends each open one as soon as all that was
   * read on it is answered and has left. Resolves when that is done, or after
   * `timeoutMilliseconds`; what has not left by then is lost.
   */
  async close(timeoutMilliseconds: number): Promise<void> {
    const deadline = common.now() + timeoutMilliseconds;
    const { server } = this.parameters;
    this.closeAfterAnswers();
    for (let turn = 0; turn < READING_TURNS; turn++) await common.nextTurn();
    this.#closing = true;
    // The HTTP server's own method also destroys connections with answers that
    // have ended and not left.
    net.Server.prototype.close.call(server);
    for (const connection of this.#open.values())
      this.#endIfAnswered(connection);
    while (this.#open.size > 0 && common.now() < deadline) {
      await common.sleep(CLOSE_CHECK_INTERVAL_MILLISECONDS);
      const now = common.now();
      const connections = [...this.#open.values()];
      if (connections.every((connection) => connection.isSpent(now))) break;
    }
    const reason = "not spent in time";
    const kind = connectionEnd.ConnectionEndKind.Stop;
    for (const connection of this.#open.values())
      connection.destroy({ kind, reason });
  }

  #receive(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue = false,
  ): void {
    const connection = this.#open.get(incoming.socket);
    if (!connection?.takesRequests) {
      // It came behind the last answer on its connection, and is not handled.
      incoming.resume();
      return;
    }
    const exchange = new callerExchange.CallerExchange(
      connection,
      incoming,
      response,
      expectsContinue,
    );
    connection.requests++;
    connection.latest = exchange;
    connection.unanswered.push(exchange);
    connection.announceClosing(this.#closesAfterAnswers);
    if (!this.#holdHeads(connection)) return;
    this.#begin(exchange);
    response.once("finish", () => this.#noteAnswered(exchange));
    if (connection.unanswered.length === 1) void this.#handle(exchange);
  }

  /**
   * Counts the heads of requests that a connection brought and that are not answered.
   * Returns false if there are too many, and the connection was ended for it.
   */
  #holdHeads(connection: trackedConnection.TrackedConnection): boolean {
    const { unanswered } = connection;
    if (unanswered.length > MAX_WAITING_REQUESTS)
      connection.destroy(tooManyRequests("too many requests wait"));
    else connection.heads.set(connection.unansweredHeadBytes);
    return !connection.socket.destroyed;
  }

  #begin(exchange: callerExchange.CallerExchange): void {
    try {
      exchange.handle = this.parameters.begin(exchange);
    } catch (cause) {
      this.#reportFailure(exchange, cause);
      exchange.handle = async () => exchange.fail();
    }
  }

  /** Handles a request; one whose handling throws ends alone, not the process. */
  async #handle(exchange: callerExchange.CallerExchange): Promise<void> {
    try {
      await exchange.handle();
    } catch (cause) {
      this.#reportFailure(exchange, cause);
      exchange.fail();
    }
  }

  #reportFailure(
    { identifier }: callerExchange.CallerExchange,
    cause: unknown,
  ): void {
    common.reportHandlerFailure(this.parameters, identifier, cause);
  }

  #noteAnswered(exchange: callerExchange.CallerExchange): void {
    const { connection } = exchange;
    connection.remove(exchange);
    connection.heads.set(connection.unansweredHeadBytes);
    connection.promisedIdleMilliseconds =
      this.parameters.limits().idleMilliseconds;
    const [next] = connection.unanswered;
    // The server gives the connection to the next answer after this event.
    if (next) setImmediate(() => void this.#handle(next));
    else if (this.#closing) this.#endIfAnswered(connection);
  }

  #endIfAnswered(connection: trackedConnection.TrackedConnection): void {
    if (connection.unanswered.length > 0) return;
    const kind = connectionEnd.ConnectionEndKind.Stop;
    connection.endGracefully({ kind, reason: "all answered" });
  }

  #track(socket: net.Socket): void {
    const connection = new trackedConnection.TrackedConnection(
      ++this.#opened,
      socket,
      this.#heads,
    );
    this.#open.set(socket, connection);
    if (this.#open.size > this.parameters.bounds.connections)
      this.#evictFor(connection);
    socket.once("close", () => {
      this.#open.delete(socket);
      connection.heads.release();
      for (const exchange of connection.unanswered) exchange.release();
      this.#logEnd(connection);
    });
  }

  /**
   * Ends the connection without a request that has been quiet for longest, to make room
   * for a new one; the new one if all have requests.
   */
  #evictFor(newest: trackedConnection.TrackedConnection): void {
    let evicted = newest;
    for (const connection of this.#open.values()) {
      const isFree = connection.unanswered.length === 0;
      if (isFree && connection.quietSince < evicted.quietSince)
        evicted = connection;
    }
    const kind = connectionEnd.ConnectionEndKind.TooManyConnections;
    evicted.destroy({ kind, reason: "" });
  }

  /** Ends a connection on which a request could not be read. */
  #endUnreadable(cause: NodeJS.ErrnoException, socket: net.Socket): void {
    const connection = this.#open.get(socket);
    if (!connection || connection.isEnding) return;
    if (cause.syscall !== undefined) {
      // The caller reset the connection.
      socket.destroy();
      return;
    }
    const isTimeout = cause.code === HEAD_TIMEOUT_CODE;
    const end = {
      kind: isTimeout
        ? connectionEnd.ConnectionEndKind.HeaderTimeout
        : connectionEnd.ConnectionEndKind.MalformedRequest,
      reason: cause.message,
    };
    if (!socket.writable) return connection.destroy(end);
    const dropped = connection.dropIncomplete();
    // What was read before it is answered first.
    const [unanswered] = connection.unanswered.slice(-1);
    if (unanswered) {
      unanswered.keepOpenAfter(false);
      unanswered.response.once("finish", () => connection.endGracefully(end));
      return;
    }
    const isBegun = dropped?.response.headersSent ?? false;
    if (socket.bytesRead > 0 && !isBegun) socket.write(refusalOf(cause.code));
    connection.endGracefully(end);
  }

  #reportGauges(): void {
    const { metrics } = this.parameters;
    metrics.gauge(common.Metric.CallerConnectionsOpen, this.#open.size);
    const kind = { kind: "heads" };
    metrics.gauge(common.Metric.CallerHeldBytes, this.#heads.total, kind);
  }

  #sweep(): void {
    this.#applyLimits();
    this.#reportGauges();
    const now = common.now();
    for (const connection of this.#open.values()) {
      if (connection.isSpent(now)) connection.socket.destroy();
      else if (this.#isStalled(connection, now)) {
        const kind = connectionEnd.ConnectionEndKind.CallerStalled;
        connection.destroy({ kind, reason: "caller takes nothing" });
      } else if (this.#isIdle(connection, now)) {
        // What came while the process was held up is read before this runs.
        setImmediate(() => this.#endIfIdle(connection));
      }
    }
  }

  #isStalled(
    connection: trackedConnection.TrackedConnection,
    now: number,
  ): boolean {
    const { stallMilliseconds } = this.parameters.limits();
    return connection.stalledMilliseconds(now) > stallMilliseconds;
  }

  #isIdle(
    connection: trackedConnection.TrackedConnection,
    now: number,
  ): boolean {
    if (connection.isEnding || connection.requests === 0) return false;
    const { idleMilliseconds } = this.parameters.limits();
    const { promisedIdleMilliseconds } = connection;
    const longest = Math.max(idleMilliseconds, promisedIdleMilliseconds);
    const idle = connection.idleMilliseconds(now);
    return idle > longest + IDLE_SLACK_MILLISECONDS;
  }

  #endIfIdle(connection: trackedConnection.TrackedConnection): void {
    if (!this.#isIdle(connection, common.now())) return;
    const kind = connectionEnd.ConnectionEndKind.IdleTimeout;
    connection.endGracefully({ kind, reason: "" });
  }

  #applyLimits(): void {
    const { server, limits } = this.parameters;
    const { idleMilliseconds, headerMilliseconds } = limits();
    // Callers are told this time; connections are kept a little longer.
    server.keepAliveTimeout = idleMilliseconds;
    server.headersTimeout = headerMilliseconds;
  }

  /** Logs the connections that the end of the process ends. */
  #noteProcessExit(): void {
    const kind = connectionEnd.ConnectionEndKind.ProcessExit;
    for (const connection of this.#open.values()) {
      connection.noteEnd({ kind, reason: "" });
      this.#logEnd(connection);
    }
  }

  #logEnd(connection: trackedConnection.TrackedConnection): void {
    const { logger, metrics } = this.parameters;
    const { end, unanswered, heldBytes } = connection;
    metrics.count(common.Metric.CallerConnectionsEnded, { end: end.kind });
    const isWhole = unanswered.length === 0 && heldBytes === 0;
    if (isWhole && connectionEnd.isOrdinary(end.kind)) return;
    const { version, versionAge, signalAges } = this.parameters.inForce();
    logger.event(common.EventCode.CallerConnectionEnded, {
      connection: connection.number,
      ...end,
      milliseconds: Math.round(common.now() - connection.openedAt),
      requests: connection.requests,
      latest: connection.latest?.identifier,
      unanswered: unanswered.map(describeUnanswered),
      handedBytes: connection.handedBytes,
      heldBytes,
      version,
      versionAge: Math.round(versionAge),
      signalAges,
    });
  }
}

function tooManyRequests(reason: string): connectionEnd.ConnectionEnd {
  return { kind: connectionEnd.ConnectionEndKind.TooManyRequests, reason };
}

function refusalOf(code: string | undefined): string {
  const status = {
    [HEAD_TIMEOUT_CODE]: "408 Request Timeout",
    [HEAD_TOO_LARGE_CODE]: "431 Request Header Fields Too Large",
  }[code ?? ""];
  const head = `HTTP/1.1 ${status ?? "400 Bad Request"}`;
  return `${head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}

function describeUnanswered(exchange: callerExchange.CallerExchange): unknown {
  const { identifier, incoming, response, arrivedAt } = exchange;
  return {
    request: identifier,
    readWhole: incoming.complete,
    headSent: response.headersSent,
    ended: response.writableEnded,
    milliseconds: Math.round(common.ageOf(arrivedAt)),
  };
}
