import * as http from "node:http";
import * as daemon from "@geraniumkeel/daemon";

/** A stand-in that listens on loopback. */
export interface Serving {
  url: string;
  port: number;
  close: () => Promise<void>;
  /** Ends all connections as a death does, and listens again after a while. */
  bounce: (milliseconds: number) => void;
}

/** Serves an application on loopback; port 0 takes any free one. */
export function serve(
  application: daemon.FetchHandler,
  port: number,
): Promise<Serving> {
  return serveHandler(daemon.requestListener(application), port);
}

/** Serves a plain request handler on loopback. */
export async function serveHandler(
  handler: http.RequestListener,
  port: number,
): Promise<Serving> {
  const server = http.createServer(handler);
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
  const taken = (server.address() as { port: number }).port;
  let returning: NodeJS.Timeout | undefined;
  const stop = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return {
    url: `http://127.0.0.1:${taken}`,
    port: taken,
    close: () => {
      clearTimeout(returning);
      return stop();
    },
    bounce: (milliseconds) => {
      void stop();
      const listen = () => server.listen(taken, "127.0.0.1");
      returning = setTimeout(listen, milliseconds);
    },
  };
}
