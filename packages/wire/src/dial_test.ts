import * as net from "node:net";
import * as ava from "ava";
import * as link from "./link.ts";

const test = ava.default;

const TIMING: link.LinkTiming = {
  heartbeat: 100,
  silentAfter: 300,
  connectTimeout: 200,
};

/** A far end that answers each connection with some bytes, or resets it. */
async function listen(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket) => void,
): Promise<number> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  t.teardown(() => server.close());
  return (server.address() as net.AddressInfo).port;
}

function dial(url: string): ReturnType<typeof link.dial> {
  const heartbeat = () => ({ clock: 0, revision: 0 });
  return link.dial({ url, key: "k", timing: TIMING, heartbeat });
}

const ANSWERS: Record<string, (socket: net.Socket) => void> = {
  "no HTTP": (socket) => socket.end("\u0000 no HTTP\r\n\r\n"),
  "a page": (socket) =>
    socket.end("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
  "a refusal that is reset": (socket) => {
    socket.write("HTTP/1.1 401 Unauthorized\r\nContent-Length: 9\r\n\r\nx");
    setImmediate(() => socket.resetAndDestroy());
  },
  "an upgrade to something else": (socket) =>
    socket.end(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
    ),
  "half a head": (socket) => socket.end("HTTP/1.1 101 Switching Pro"),
  "a reset": (socket) => socket.resetAndDestroy(),
  nothing: () => {},
};

// Guards against a process that ends as something else listens where a link is dialled.
for (const [name, answer] of Object.entries(ANSWERS)) {
  test(`a link to what answers with ${name} is not opened`, async (t) => {
    const port = await listen(t, answer);
    t.true((await dial(`ws://127.0.0.1:${port}/link`)).isErr());
  });
}

test("a link to an address that makes no URL is not opened", async (t) => {
  for (const address of ["a b:1", "127.0.0.1:99999", ":1", "[::1:1"]) {
    t.true((await dial(`ws://${address}/link`)).isErr(), address);
  }
});
