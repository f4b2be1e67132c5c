import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as httpCallFixture from "@geraniumkeel/common/http_call_fixture";
import * as httpClient from "./http_client.ts";

const test = ava.default;

/** A server that answers by `handler`, and a client of it. */
async function fixture(
  t: ava.ExecutionContext,
  handler: http.RequestListener,
  timeoutMilliseconds: number,
): Promise<{ client: httpClient.HttpClient; connections: () => number }> {
  let connections = 0;
  const server = http.createServer(handler);
  server.on("connection", () => connections++);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as net.AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const client = new httpClient.HttpClient(origin, { timeoutMilliseconds });
  return { client, connections: () => connections };
}

// The process stops while a request to the store is under way. The request ends
// by that; taking it for a silent connection, the client closed its destroyed
// pool once more, and the rejection ended the process.
test("closing while a request is under way ends it as unanswered", async (t) => {
  let arrived = () => {};
  const arriving = new Promise<void>((resolve) => (arrived = resolve));
  const { client } = await fixture(t, () => arrived(), 5_000);
  const answering = client.request("GET", "/");
  await arriving;
  await client.close();
  const answer = await answering;
  t.is(
    answer.isErr() && answer.error.kind,
    httpClient.RequestFailureKind.Unanswered,
  );
  const later = await client.request("GET", "/");
  t.is(
    later.isErr() && later.error.kind,
    httpClient.RequestFailureKind.NotSent,
  );
});

// A pooled connection never answers again, while new ones would. After the
// time-out the next request takes a connection of its own.
test("a connection that went silent is not used again", async (t) => {
  let silent = true;
  const { client, connections } = await fixture(
    t,
    (_request, response) => {
      if (!silent) response.end("well");
    },
    200,
  );
  const first = await client.request("GET", "/");
  t.true(first.isErr());
  silent = false;
  const second = await client.request("GET", "/");
  t.is(second.isOk() && second.value.body, "well");
  t.true(connections() >= 2);
  await client.close();
});

/** Answers piece by piece, with a pause before each. */
function answerSlowly(
  response: http.ServerResponse,
  pieces: string[],
  pauseMilliseconds: number,
): void {
  const left = [...pieces];
  const timer = setInterval(() => {
    const piece = left.shift();
    if (piece === undefined) clearInterval(timer);
    if (piece === undefined) response.end();
    else response.write(piece);
  }, pauseMilliseconds);
  response.once("close", () => clearInterval(timer));
}

// After all hosts lost power a group keeps its first map, and every stream is late. Its
// leader reads a configuration of many routes over a slow link; given up after a fixed
// time, the answer is asked for again and again and never there.
test("an answer that goes on coming is read to its end", async (t) => {
  const pieces = Array.from({ length: 10 }, (_, index) => `piece ${index} `);
  const { client } = await fixture(
    t,
    (_request, response) => answerSlowly(response, pieces, 100),
    300,
  );
  const answer = await client.request("GET", "/");
  t.is(answer.isOk() && answer.value.body, pieces.join(""));
  await client.close();
});

// A connection goes silent in the middle of an answer, and nothing ever ends it.
test("an answer that stops coming is given up", async (t) => {
  const { client } = await fixture(
    t,
    (_request, response) => void response.write("the first half"),
    200,
  );
  const answer = await client.request("GET", "/");
  t.is(
    answer.isErr() && answer.error.kind,
    httpClient.RequestFailureKind.Unanswered,
  );
  await client.close();
});

// A far end that trickles is given up in the end: what asked would wait for good.
test("an answer that takes far too long as a whole is given up", async (t) => {
  const pieces = new Array<string>(1_000).fill("x");
  const { client } = await fixture(
    t,
    (_request, response) => answerSlowly(response, pieces, 20),
    60,
  );
  const answer = await client.request("GET", "/");
  t.true(answer.isErr());
  await client.close();
});

/** A client of a far end that answers each connection by `answer`. */
async function startFarEnd(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket) => void,
): Promise<httpClient.HttpClient> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const timeoutMilliseconds = 400;
  return new httpClient.HttpClient(`http://127.0.0.1:${port}`, {
    timeoutMilliseconds,
  });
}

// Guards against calls of the store and of engines that never end, or fill the memory.
test("an answer without end fails its call in bounded time", async (t) => {
  const endless = [
    ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    ["HTTP/1.1 200 OK\r\nname: ", "v".repeat(1_000)],
    ["HTTP/1.1 200 OK\r\n\r\n", "x".repeat(65_536)],
    [
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1\r\nx\r\n".repeat(100),
    ],
  ];
  for (const [head, piece] of endless) {
    const client = await startFarEnd(t, (socket) => {
      socket.write(head);
      httpCallFixture.writeWithoutEnd(socket, Buffer.from(piece));
    });
    const startedAt = common.now();
    const answer = await client.request("GET", "/");
    const took = common.now() - startedAt;
    t.true(answer.isErr(), head);
    t.true(took < 1_000, `${piece.slice(0, 30)}: ${took} ms`);
    await client.close();
  }
});

// Guards against a wrong status that is taken for one of the far end's.
test("an answer of no final status fails its call", async (t) => {
  for (const status of ["000", "099", "101", "600", "999"]) {
    const client = await startFarEnd(t, (socket) =>
      socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`),
    );
    const answer = await client.request("GET", "/");
    t.true(answer.isErr(), status);
    await client.close();
  }
});

// Guards against an extra answer, sent late, that is taken for the next call's.
test("an extra answer is no answer to the next call", async (t) => {
  const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  let calls = 0;
  const client = await startFarEnd(t, (socket) => {
    // Only the first call is answered, and answered again at the next one.
    if (calls++ > 0) return;
    socket.write(sound);
    socket.on("data", () => socket.write(sound));
  });
  const first = await client.request("GET", "/");
  t.is(first._unsafeUnwrap().body, "first");
  // A client that keeps connections has this one free again by then.
  await common.nextTurn();
  const second = await client.request("POST", "/", {});
  t.is(
    second.isErr() && second.error.kind,
    httpClient.RequestFailureKind.Unanswered,
  );
  await client.close();
});

// Guards against calls to a silent far end that take all descriptors of the process.
test("calls under way at once have a bounded number of connections", async (t) => {
  let open = 0;
  let mostOpen = 0;
  const client = await startFarEnd(t, (socket) => {
    mostOpen = Math.max(mostOpen, ++open);
    socket.once("close", () => open--);
  });
  const calls = Array.from({ length: 200 }, () => client.request("GET", "/"));
  const answers = await Promise.all(calls);
  t.true(answers.every((answer) => answer.isErr()));
  t.true(mostOpen > 0 && mostOpen <= 64, `${mostOpen} connections`);
  await client.close();
});
