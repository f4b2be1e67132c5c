import * as http from "node:http";
import type * as stream from "node:stream";
import * as common from "@geraniumkeel/common";
import * as ws from "ws";
import * as link from "./link.ts";

/**
 * Accepts links on an HTTP server of this process. Only holders of the process
 * key get one; anyone else is answered 401 before the upgrade.
 */
export function acceptLinks(parameters: {
  server: http.Server;
  path: string;
  key: string;
  timing: link.LinkTiming;
  heartbeat: link.HeartbeatSource;
  onLink: (opened: link.Link) => void;
}): { close: () => void } {
  const open = new Set<link.Link>();
  const server = new ws.WebSocketServer({
    noServer: true,
    perMessageDeflate: false,
    maxPayload: link.LARGEST_FRAME,
  });
  const upgrade = (
    request: http.IncomingMessage,
    socket: stream.Duplex,
    head: Buffer,
  ) => {
    if (request.url !== parameters.path) return refuse(socket, 404);
    const token = common.bearerToken(request.headers.authorization) ?? "";
    if (!common.equalInConstantTime(token, parameters.key)) {
      return refuse(socket, 401);
    }
    server.handleUpgrade(request, socket, head, (accepted) => {
      const { timing, heartbeat } = parameters;
      const opened = new link.Link(
        accepted,
        timing,
        heartbeat,
        link.LinkSide.Accepted,
      );
      open.add(opened);
      accepted.on("close", () => open.delete(opened));
      parameters.onLink(opened);
    });
  };
  parameters.server.on("upgrade", upgrade);
  return {
    close: () => {
      parameters.server.off("upgrade", upgrade);
      for (const opened of open) opened.close();
    },
  };
}

function refuse(socket: stream.Duplex, status: number): void {
  // The HTTP server has given the socket away, so nobody else listens: if the
  // far end resets it meanwhile, the error would end the process.
  socket.on("error", () => socket.destroy());
  const text = http.STATUS_CODES[status];
  const head = `HTTP/1.1 ${status} ${text}\r\nConnection: close\r\n\r\n`;
  // A far end that keeps its side open would hold the descriptor.
  socket.end(head, () => socket.destroy());
}
