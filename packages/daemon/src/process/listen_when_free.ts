import type * as http from "node:http";
import * as common from "@geraniumkeel/common";

/** Connections that may wait to be accepted, as many callers connect at once. */
const BACKLOG = 1_024;
/** Pause between two attempts to open a listener, in milliseconds. */
const RETRY_MILLISECONDS = 200;

/** Address and port of a listener. */
export interface ListenerEndpoint {
  address: string;
  port: number;
}

/** What opening a listener needs of its process. */
export interface ListenParameters {
  logger: common.Logger;
  /** Called before each further attempt. */
  onRetry: () => void;
}

/**
 * Opens a listener. Something else may have its port for a while, as a process
 * before this one that has not ended yet: the listener then waits for it.
 */
export async function listenWhenFree(
  server: http.Server,
  endpoint: ListenerEndpoint,
  { logger, onRetry }: ListenParameters,
): Promise<void> {
  const tell = (reason: string) => {
    const code = common.EventCode.ListenerUnavailable;
    logger.event(code, { ...endpoint, reason });
  };
  let told = "";
  let reason = await tryToListen(server, endpoint);
  while (reason !== undefined) {
    if (reason !== told) tell(reason);
    told = reason;
    await common.sleep(RETRY_MILLISECONDS);
    onRetry();
    reason = await tryToListen(server, endpoint);
  }
  // A connection that could not be accepted, which costs only that connection.
  server.on("error", (cause) => tell(cause.message));
}

/** Why the listener can't be opened now; `undefined` if it is open. */
function tryToListen(
  server: http.Server,
  endpoint: ListenerEndpoint,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const fail = (cause: Error) => {
      server.off("listening", succeed);
      resolve(cause.message);
    };
    const succeed = () => {
      server.off("error", fail);
      resolve(undefined);
    };
    server.once("error", fail);
    server.once("listening", succeed);
    server.listen(endpoint.port, endpoint.address, BACKLOG);
  });
}
