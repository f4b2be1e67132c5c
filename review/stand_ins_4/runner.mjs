/**
 * Stand-in of a runner, as a process of its own. Its only argument is JSON:
 * `id`, `port` (0 for any), `answer` ("stream" or "whole"), `framed`, `events`,
 * `gapMs`. It tells its parent, over the channel of the fork, that it listens,
 * and what it runs and sends.
 */
import * as http from "node:http";
/* global setTimeout */

const options = JSON.parse(process.argv[2]);
const { id, answer, framed, events, gapMs } = options;

let active = 0;
/** Share of the requests that it runs and fails with a 503 of its own. */
let failShare = 0;

const server = http.createServer((request, response) => {
  void handle(request, response);
});

async function handle(request, response) {
  request.resume();
  await new Promise((resolve) => request.once("end", resolve));
  const requestId = request.headers["geraniumkeel-request-id"] ?? "";
  const expected = request.headers["geraniumkeel-expect-instance"];
  if (expected !== undefined && expected !== id) {
    const headers = { "Geraniumkeel-Request-Id": requestId };
    response.writeHead(421, { ...headers, "Content-Length": 0 }).end();
    return;
  }
  let gone = false;
  response.once("close", () => (gone = !response.writableFinished));
  active++;
  const after = Number(request.headers["last-event-id"] ?? 0) || 0;
  process.send({ kind: "run", runner: id, request: requestId, after });
  const headers = {
    "Geraniumkeel-Request-Id": requestId,
    "Geraniumkeel-Response-Stamp": `stamp.${id}.${requestId}`,
    "Geraniumkeel-Instance-Load": `${active},0,8`,
    "Content-Type": answer === "stream" ? "text/event-stream" : "text/plain",
  };
  if (!framed) {
    // The answer ends with its connection: no length and no chunks.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  if (Math.random() < failShare) {
    await new Promise((resolve) => setTimeout(resolve, events * gapMs));
    response.writeHead(503, { ...headers, "Content-Length": 6 }).end("failed");
    process.send({ kind: "failed", runner: id, request: requestId });
    active--;
    return;
  }
  response.writeHead(200, headers);
  for (let number = after + 1; number <= events && !gone; number++) {
    response.write(pieceOf(requestId, number));
    await new Promise((resolve) => setTimeout(resolve, gapMs));
  }
  if (!gone) {
    await new Promise((resolve) => response.end(resolve));
    process.send({ kind: "done", runner: id, request: requestId });
  }
  active--;
}

function pieceOf(requestId, number) {
  return answer === "stream"
    ? `id: ${number}\ndata: ${requestId} ${number} of ${events}\n\n`
    : `${requestId} part ${number} of ${events};`;
}

process.on("message", (message) => {
  failShare = message.failShare;
});
process.on("disconnect", () => process.exit(0));
server.listen(options.port, "127.0.0.1", () => {
  process.send({ kind: "listening", runner: id, port: server.address().port });
});
