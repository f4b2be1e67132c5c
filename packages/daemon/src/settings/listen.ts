import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as boundConnections from "../caller_connections/bound_connections.ts";
import type * as settings from "./settings.ts";

/** A listener that could not be opened. */
export interface ListenFailure {
  kind: "listen-failure";
  /** Key of the listener under `listen` in the settings. */
  listenerName: string;
  reason: string;
}

/** The open server of a listener. */
export interface OpenListener {
  server: http.Server;
  /**
   * Base URL, with the port that the server listens on. If the settings give
   * port 0, the system has chosen this port.
   */
  url: string;
  port: number;
}

/**
 * Opens the HTTP or HTTPS server of a listener. The life-cycle closes the
 * server later. Returns a failure if the listener's certificate or private key
 * cannot be read or its address cannot be used.
 */
export async function listen(parameters: {
  name: string;
  listener: settings.Listener;
  /** Connections at most. */
  maxConnections: number;
  handler?: http.RequestListener;
  lifeCycle: common.LifeCycle;
}): Promise<neverthrow.Result<OpenListener, ListenFailure>> {
  const { listener, name, handler } = parameters;
  const server = createServer(listener);
  if (server.isErr()) return neverthrow.err(failure(name, server.error));
  const httpServer = server.value;
  boundConnections.boundConnections(httpServer, {
    max: parameters.maxConnections,
    takesUpgrades: name === LINKS_NAME,
  });
  if (handler) httpServer.on("request", handler);
  const reason = await new Promise<string | undefined>((resolve) => {
    httpServer.once("error", (cause) => resolve(cause.message));
    httpServer.listen(listener.port, listener.address, () =>
      resolve(undefined),
    );
  });
  if (reason !== undefined) return neverthrow.err(failure(name, reason));
  parameters.lifeCycle.own({ name, close: () => closeServer(httpServer) });
  const address = httpServer.address() as { port: number };
  const scheme = listener.tls ? "https" : "http";
  const url = `${scheme}://${listener.address}:${address.port}`;
  return neverthrow.ok({ server: httpServer, url, port: address.port });
}

/**
 * Returns the WebSocket URL at which a process accepts links, by the base URL
 * (http or https) of its listener for links.
 */
export function webSocketLinkUrl(base: string): string {
  return base.replace(/^http/, "ws") + LINK_PATH;
}

/** URL path on which a process accepts links. */
export const LINK_PATH = "/link";

/** Name of the listener at which a process accepts links. */
const LINKS_NAME = "links";

function createServer(
  listener: settings.Listener,
): neverthrow.Result<http.Server, string> {
  if (!listener.tls) return neverthrow.ok(http.createServer());
  try {
    const cert = fs.readFileSync(listener.tls.certificateFile);
    const key = fs.readFileSync(listener.tls.keyFile);
    return neverthrow.ok(https.createServer({ cert, key }));
  } catch (cause) {
    return neverthrow.err((cause as Error).message);
  }
}

function failure(listenerName: string, reason: string): ListenFailure {
  return { kind: "listen-failure", listenerName, reason };
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
