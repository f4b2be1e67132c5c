import * as http from "node:http";
import type * as net from "node:net";
import * as boundConnections from "./bound_connections.ts";

/** Longest time for a question to come, and for its answer to be taken. */
const TIMEOUT_MILLISECONDS = 5_000;
/** How often connections are checked for these times. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Least time between two questions on one connection. */
const PACE_MILLISECONDS = 20;
const STATUS_UPGRADE_REQUIRED = 426;
/** How long a connection that this process ended is kept, for its last answer. */
const LINGER_MILLISECONDS = 500;

/**
 * Creates a server for short questions without a body, as of a state. Bounded are its
 * connections, the rate of questions on each, and what waits on it: a question that
 * comes before the last answer has left, or with a body, is the last of its connection.
 */
export function createQuestionServer(
  listener: http.RequestListener,
  connections: { max: number; takesUpgrades: boolean },
): http.Server {
  const server = http.createServer({
    connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
    headersTimeout: TIMEOUT_MILLISECONDS,
    requestTimeout: TIMEOUT_MILLISECONDS,
  });
  // Without a listener the server closes a connection that is quiet for so long.
  server.setTimeout(TIMEOUT_MILLISECONDS);
  boundConnections.boundConnections(server, connections);
  const open = new WeakMap<net.Socket, QuestionConnection>();
  server.on("connection", (socket: net.Socket) =>
    open.set(socket, new QuestionConnection(socket)),
  );
  server.on("request", (request, response) => {
    const connection = open.get(request.socket);
    if (!connection?.begin(request, response)) return;
    listener(request, response);
  });
  return server;
}

/** One connection on which questions come. */
class QuestionConnection {
  #isBusy = false;
  #isLast = false;
  #isEnding = false;

  constructor(readonly socket: net.Socket) {}

  /** Begins to answer a question; returns whether it is to be answered. */
  begin(request: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (this.#isBusy || this.#isEnding) {
      this.#endAfterAnswer();
      return false;
    }
    this.#isBusy = true;
    if (hasBody(request)) response.shouldKeepAlive = false;
    response.once("finish", () => this.#rest(response.shouldKeepAlive));
    return true;
  }

  /** Reads the next question after a pause, if there may be one. */
  #rest(keepsOpen: boolean): void {
    this.#isBusy = false;
    if (!keepsOpen || this.#isLast) return this.#endGracefully();
    this.socket.pause();
    setTimeout(() => this.socket.resume(), PACE_MILLISECONDS);
  }

  #endAfterAnswer(): void {
    this.#isLast = true;
    dropInput(this.socket);
  }

  #endGracefully(): void {
    this.#isEnding = true;
    dropInput(this.socket);
    this.socket.end();
    setTimeout(() => this.socket.destroy(), LINGER_MILLISECONDS);
  }
}

function hasBody({ headers }: http.IncomingMessage): boolean {
  const { "transfer-encoding": coding, "content-length": length } = headers;
  return coding !== undefined || Number(length ?? 0) > 0;
}

/** Has what still comes dropped before it reaches the parser. */
function dropInput(socket: net.Socket): void {
  socket.removeAllListeners("data");
  socket.on("data", () => {});
  socket.resume();
}

/** Answers what is no question on a listener that takes only upgrades. */
export function answerUpgradeRequired(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.writeHead(STATUS_UPGRADE_REQUIRED, { "Content-Length": "0" }).end();
}
