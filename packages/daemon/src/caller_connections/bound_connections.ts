import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Bounds the connections of a server whose requests are answered at once. Over the
 * bound the one that was used least lately is closed, so that silent ones do not keep
 * others out. An upgraded connection has an owner of its own and is not counted.
 */
export function boundConnections(server: http.Server, max: number): void {
  // In the order of their last use.
  const open = new Set<net.Socket>();
  const use = (socket: net.Socket) => {
    if (open.delete(socket)) open.add(socket);
  };
  server.on("connection", (socket: net.Socket) => {
    open.add(socket);
    socket.once("close", () => open.delete(socket));
    if (open.size <= max) return;
    const [leastRecent] = open;
    open.delete(leastRecent);
    leastRecent.destroy();
  });
  server.on("request", ({ socket }) => use(socket));
  server.on("upgrade", (_request, socket) => open.delete(socket as net.Socket));
}
