import * as events from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import type * as neverthrow from "neverthrow";
import * as bodyResources from "./body_resources.ts";
import * as readBody from "./read_body.ts";

const test = ava.default;

const LIMIT = 1_000;
const LONG_MILLISECONDS = 10_000;
const MEMORY_BYTES = 4_000;

interface Reading {
  /** What the caller sends after the head. */
  send: (socket: net.Socket) => void;
  lines: string[];
  timeoutMilliseconds?: number;
  memoryBytes?: number;
}

interface Outcome {
  result: neverthrow.Result<readBody.HeldBody, readBody.BodyFailure>;
  resources: bodyResources.BodyResources;
}

/** Reads the body of one request that a caller sends. */
async function read(t: ava.ExecutionContext, sent: Reading): Promise<Outcome> {
  const { timeoutMilliseconds = LONG_MILLISECONDS } = sent;
  const resources = new bodyResources.BodyResources(
    sent.memoryBytes ?? MEMORY_BYTES,
  );
  const server = http.createServer();
  server.listen(0, "127.0.0.1");
  await events.EventEmitter.once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => {});
  t.teardown(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const requested = events.EventEmitter.once(server, "request");
  const head = ["POST / HTTP/1.1", "Host: h", ...sent.lines, "", ""];
  socket.write(head.join("\r\n"));
  const [request] = (await requested) as [http.IncomingMessage];
  const terms = { limit: LIMIT, timeoutMilliseconds, resources };
  const result = readBody.readBody(request, terms);
  sent.send(socket);
  return { result: await result, resources };
}

const nothing = () => {};
const CHUNKED = "Transfer-Encoding: chunked";

test("a body is read whole, and its memory given back once it is released", async (t) => {
  const { result, resources } = await read(t, {
    lines: [CHUNKED],
    send: (socket) => socket.write("1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"),
  });
  const body = result._unsafeUnwrap();
  t.is(body.content.toString(), "abc");
  t.true(resources.memory.bytes > 0);
  body.release();
  t.is(resources.memory.bytes, 0);
});

/** Ways in which the reading of a body ends without it. */
const FAILURES: Record<
  string,
  Reading & { kind: readBody.BodyFailure["kind"] }
> = {
  "is announced beyond the limit": {
    kind: "too-large",
    lines: [`Content-Length: ${LIMIT + 1}`],
    send: nothing,
  },
  "grows beyond the limit": {
    kind: "too-large",
    lines: [CHUNKED],
    send: (socket) =>
      socket.write(`${(LIMIT + 1).toString(16)}\r\n${"x".repeat(LIMIT + 1)}`),
  },
  "makes no progress": {
    kind: "too-slow",
    lines: ["Content-Length: 10"],
    send: (socket) => socket.write("x"),
    timeoutMilliseconds: 20,
  },
  "breaks off": {
    kind: "broken",
    lines: ["Content-Length: 10"],
    send: (socket) => socket.resetAndDestroy(),
  },
};

// Guards against memory that a body takes and nobody gives back.
for (const [title, reading] of Object.entries(FAILURES)) {
  test(`a body that ${title} leaves no memory taken`, async (t) => {
    const { result, resources } = await read(t, reading);
    t.is(result._unsafeUnwrapErr().kind, reading.kind);
    t.is(resources.memory.bytes, 0);
  });
}

// Guards against bodies that have ended and still take turns from others, or are kept.
test("a body in tiny pieces that fails waits for no turn", async (t) => {
  const { result, resources } = await read(t, {
    lines: [CHUNKED],
    send: (socket) => socket.write("1\r\nx\r\n".repeat(LIMIT)),
    timeoutMilliseconds: 100,
  });
  t.is(result._unsafeUnwrapErr().kind, "too-slow");
  t.is(resources.turns.waiting, 0);
});
