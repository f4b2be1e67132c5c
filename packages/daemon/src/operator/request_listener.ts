import * as nodeServer from "@hono/node-server";
import type * as http from "node:http";

/** Anything that answers web requests, such as a Hono application. */
export interface FetchHandler {
  fetch: Parameters<typeof nodeServer.getRequestListener>[0];
}

/** Turns an application into a listener of a Node server. */
export function requestListener(handler: FetchHandler): http.RequestListener {
  const listener = nodeServer.getRequestListener(handler.fetch, {
    overrideGlobalObjects: false,
  });
  return (request, response) => void listener(request, response);
}
