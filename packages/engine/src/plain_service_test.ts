import * as net from "node:net";
import * as ava from "ava";
import * as plainService from "./plain_service.ts";

const test = ava.default;

/** A service that answers each connection by what `answer` does to its socket. */
async function startService(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket) => void,
): Promise<plainService.HttpPlainService> {
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const service = new plainService.HttpPlainService(
    `http://127.0.0.1:${port}`,
    { progressTimeoutMilliseconds: 2_000 },
  );
  t.teardown(async () => {
    await service.close();
    server.close();
  });
  return service;
}

/** The body, or "broken" if it did not come to its end. */
async function bodyOf(
  service: plainService.HttpPlainService,
  method = "GET",
): Promise<string> {
  const call = { method, path: "/", headers: [], body: new Uint8Array() };
  const answer = await service.call(call, new AbortController().signal);
  if (answer.isErr()) return answer.error.kind;
  const pieces: Uint8Array[] = [];
  try {
    for await (const piece of answer.value.body) pieces.push(piece);
  } catch {
    return "broken";
  }
  return Buffer.concat(pieces).toString();
}

const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";

// Guards against half a body that passes for a whole one: undici takes a body without a
// length that is reset for complete.
test("a body without a length that is reset is not complete", async (t) => {
  const atOnce = await startService(t, (socket) => {
    socket.write(`${UNFRAMED}half`, () => socket.resetAndDestroy());
  });
  t.is(await bodyOf(atOnce), "broken");
  const later = await startService(t, (socket) => {
    socket.write(`${UNFRAMED}half`);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  t.is(await bodyOf(later), "broken");
});

test("a body without a length ends with its connection, half-closed, at once or late", async (t) => {
  const atOnce = await startService(t, (socket) =>
    socket.end(`${UNFRAMED}whole`),
  );
  t.is(await bodyOf(atOnce), "whole");
  const late = await startService(t, (socket) => {
    socket.write(`${UNFRAMED}whole`);
    setTimeout(() => socket.end(), 100);
  });
  t.is(await bodyOf(late), "whole");
});

test("answers without a body, and bodies with a length, are complete", async (t) => {
  const cases: [string, string, string][] = [
    ["HEAD", "200 OK\r\n\r\n", ""],
    ["GET", "204 No Content\r\n\r\n", ""],
    ["GET", "304 Not Modified\r\n\r\n", ""],
    ["GET", "200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"],
  ];
  for (const [method, answer, body] of cases) {
    const service = await startService(t, (socket) =>
      socket.write(`HTTP/1.1 ${answer}`),
    );
    t.is(await bodyOf(service, method), body, answer);
  }
});
