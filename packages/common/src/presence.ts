import * as net from "node:net";

/** What is found at an address. */
export enum Presence {
  /** Something accepts connections. */
  Listening = "listening",
  /** The host is there, and nothing accepts connections. */
  Refused = "refused",
  /** No word came back in time. */
  Silent = "silent",
}

/** Opens a connection and ends it, without a request. */
export function presenceAt(
  endpoint: { host: string; port: number },
  timeoutMilliseconds: number,
): Promise<Presence> {
  return new Promise((resolve) => {
    const socket = net.connect(endpoint);
    const settle = (presence: Presence) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(presence);
    };
    // Timers run before sockets are read: after a pause of this process the
    // answer may be there already.
    const timer = setTimeout(
      () => setImmediate(() => settle(Presence.Silent)),
      timeoutMilliseconds,
    );
    socket.once("connect", () => settle(Presence.Listening));
    socket.once("error", (cause: NodeJS.ErrnoException) => {
      const refused = cause.code === "ECONNREFUSED";
      settle(refused ? Presence.Refused : Presence.Silent);
    });
  });
}
