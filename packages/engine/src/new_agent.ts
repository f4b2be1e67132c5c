import * as undici from "undici";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connections to a back end on this host, ended when no progress is made. */
export function newAgent(parameters: {
  progressTimeoutMilliseconds: number;
  connections: number;
}): undici.Agent {
  const { progressTimeoutMilliseconds, connections } = parameters;
  return new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    headersTimeout: progressTimeoutMilliseconds,
    bodyTimeout: progressTimeoutMilliseconds,
    connections,
  });
}
