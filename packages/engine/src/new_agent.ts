import type * as net from "node:net";
import * as undici from "undici";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connections to a back end on this host, ended when no progress is made. */
export function newAgent(parameters: {
  progressTimeoutMilliseconds: number;
  connections: number;
  /** Called with each connection that is made. */
  onConnection?: (socket: net.Socket) => void;
}): undici.Agent {
  const { progressTimeoutMilliseconds, connections, onConnection } = parameters;
  const connect = undici.buildConnector({
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
  });
  return new undici.Agent({
    connect: (options, callback) =>
      connect(options, (...made) => {
        const [, socket] = made;
        if (socket) onConnection?.(socket);
        callback(...made);
      }),
    headersTimeout: progressTimeoutMilliseconds,
    bodyTimeout: progressTimeoutMilliseconds,
    connections,
    // No connection is used again: a late second answer would be the next one's.
    pipelining: 0,
  });
}
