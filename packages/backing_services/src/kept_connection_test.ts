import * as net from "node:net";
import * as ava from "ava";
import * as httpClient from "./http_client.ts";

const test = ava.default;

const TIMEOUT_MILLISECONDS = 1_000;

function answerOf(body: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** A far end that writes what `reply` says to the numbered request. */
async function createPair(
  t: ava.ExecutionContext,
  reply: (request: number) => string,
) {
  let connections = 0;
  let requests = 0;
  const server = net.createServer((socket) => {
    connections++;
    socket.on("error", () => socket.destroy());
    socket.on("data", () => socket.write(reply(++requests)));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const client = new httpClient.HttpClient(`http://127.0.0.1:${port}`, {
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    connectionUse: httpClient.ConnectionUse.Kept,
  });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  const ask = async () =>
    (await client.request("GET", "/")).map(({ body }) => body);
  return { ask, connections: () => connections };
}

// Guards against a connection for each reading of a state: over a thousand a second
// from a hundred hosts that serve nobody.
test("readings one after the other share a connection", async (t) => {
  const { ask, connections } = await createPair(t, (request) =>
    answerOf(`state ${request}`),
  );
  for (let request = 1; request <= 10; request++) {
    t.is((await ask())._unsafeUnwrap(), `state ${request}`);
  }
  t.is(connections(), 1);
});

// Guards against a process that learns nothing more of its engine, as the kept
// connection went silent for good.
test("a kept connection that is silent is replaced", async (t) => {
  const { ask, connections } = await createPair(t, (request) =>
    request === 2 ? "" : answerOf(`state ${request}`),
  );
  t.true((await ask()).isOk());
  t.true((await ask()).isErr());
  t.is((await ask())._unsafeUnwrap(), "state 3");
  t.is(connections(), 2);
});

// Guards against an old state that is taken for the one asked for, reading after
// reading, after an engine sent one answer twice.
test("a kept connection with an answer that nobody asked for is replaced", async (t) => {
  const { ask, connections } = await createPair(t, (request) =>
    answerOf(`state ${request}`).repeat(request === 1 ? 2 : 1),
  );
  await ask();
  t.is((await ask())._unsafeUnwrap(), "state 2");
  t.is(connections(), 2);
});
