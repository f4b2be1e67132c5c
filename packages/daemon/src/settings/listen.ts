import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import type * as settings from "./settings.ts";

/** A listener that could not be opened. */
export interface ListenFailure {
  kind: "listen-failure";
  listener: string;
  reason: string;
}

/** An open listener. */
export interface Listening {
  server: http.Server;
  /** Base URL, with the port that the listener uses if port 0 was given. */
  url: string;
  port: number;
}

/**
 * Opens a listener, which the life-cycle closes. Fails if its certificate
 * cannot be read or its address cannot be used.
 */
export async function listen(parameters: {
  name: string;
  listener: settings.Listener;
  handler?: http.RequestListener;
  lifeCycle: common.LifeCycle;
}): Promise<neverthrow.Result<Listening, ListenFailure>> {
  const { listener, name, handler } = parameters;
  const server = createServer(listener);
  if (server.isErr()) return neverthrow.err(failure(name, server.error));
  const opened = server.value;
  if (handler) opened.on("request", handler);
  const reason = await new Promise<string | undefined>((resolve) => {
    opened.once("error", (cause) => resolve(cause.message));
    opened.listen(listener.port, listener.address, () => resolve(undefined));
  });
  if (reason !== undefined) return neverthrow.err(failure(name, reason));
  parameters.lifeCycle.own({ name, close: () => closeServer(opened) });
  const address = opened.address() as { port: number };
  const scheme = listener.tls ? "https" : "http";
  const url = `${scheme}://${listener.address}:${address.port}`;
  return neverthrow.ok({ server: opened, url, port: address.port });
}

/** Returns the WebSocket URL for links to a process with an HTTP base URL. */
export function linkUrl(base: string): string {
  return base.replace(/^http/, "ws") + LINK_PATH;
}

/** URL path on which a process accepts links. */
export const LINK_PATH = "/link";

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

function failure(listener: string, reason: string): ListenFailure {
  return { kind: "listen-failure", listener, reason };
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
