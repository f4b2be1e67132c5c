import * as net from "node:net";
import * as ava from "ava";
import * as httpClient from "./http_client.ts";

const test = ava.default;

const CALLS = 12;
const TIMEOUT_MILLISECONDS = 5_000;
/** Below what one answer may hold, above an equal part of what all may hold. */
const HELD_BYTES = 6 * 1024 * 1024;
const PIECE = Buffer.alloc(64 * 1024, "x");

// Guards against calls that each stay within the bound of one answer, and together fill
// the memory of the process.
test("what many calls hold together is bounded, and each call settles", async (t) => {
  const held: net.Socket[] = [];
  const server = net.createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      for (let sent = 0; sent < HELD_BYTES; sent += PIECE.length)
        socket.write(PIECE);
      held.push(socket);
    });
    // The others come to their end once one was given up, and not before.
    socket.once("close", () => held.forEach((other) => other.end()));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new httpClient.HttpClient(`http://127.0.0.1:${port}`, {
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  const answers = await Promise.all(
    Array.from({ length: CALLS }, () => client.request("GET", "/")),
  );
  const failures = answers.flatMap((answer) =>
    answer.isErr() ? [answer.error.reason] : [],
  );
  t.true(failures.length > 0 && failures.length < CALLS, failures.join());
  for (const reason of failures) t.regex(reason, /memory/);
});
