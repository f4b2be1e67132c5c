import type * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";

/** Requests of one connection that may be under way; more end the connection. */
const MAX_REQUESTS_OF_CONNECTION = 16;

/**
 * Bounds the connections of a server. Over the bound the one without a request that was
 * used least lately is closed, so that silent ones do not keep others out; the new one
 * if all have requests. An upgraded connection has an owner of its own and is not
 * counted.
 */
export function boundConnections(
  server: http.Server,
  { max, takesUpgrades }: { max: number; takesUpgrades: boolean },
): void {
  if (server instanceof https.Server) {
    // Its requests come on other sockets than its connections.
    server.maxConnections = max;
    return;
  }
  const bound = new ConnectionBound(max);
  server.on("connection", (socket: net.Socket) => bound.add(socket));
  server.on("request", ({ socket }, response) => bound.begin(socket, response));
  // With a listener of this event the HTTP server gives the socket away: on a server
  // that takes no upgrades nobody would hear its errors, which end the process.
  if (!takesUpgrades) return;
  server.on("upgrade", (_request, socket) => {
    bound.remove(socket as net.Socket);
    socket.on("error", () => socket.destroy());
  });
}

/** The connections of one server. */
class ConnectionBound {
  /** Requests that are under way, by connection. */
  readonly #open = new Map<net.Socket, number>();
  /** Connections without a request, in the order of their last use. */
  readonly #free = new Set<net.Socket>();

  constructor(readonly max: number) {}

  add(socket: net.Socket): void {
    this.#open.set(socket, 0);
    this.#free.add(socket);
    socket.once("close", () => this.remove(socket));
    if (this.#open.size <= this.max) return;
    const [evicted] = this.#free;
    this.remove(evicted);
    evicted.destroy();
  }

  begin(socket: net.Socket, response: http.ServerResponse): void {
    const requests = (this.#open.get(socket) ?? 0) + 1;
    if (requests > MAX_REQUESTS_OF_CONNECTION) {
      socket.destroy();
      return;
    }
    this.#open.set(socket, requests);
    this.#free.delete(socket);
    response.once("close", () => this.#end(socket));
  }

  remove(socket: net.Socket): void {
    this.#open.delete(socket);
    this.#free.delete(socket);
  }

  #end(socket: net.Socket): void {
    const requests = this.#open.get(socket);
    if (requests === undefined) return;
    this.#open.set(socket, requests - 1);
    if (requests === 1) this.#free.add(socket);
  }
}
