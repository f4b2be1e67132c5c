import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as httpCallFixture from "@geraniumkeel/common/http_call_fixture";
import * as wire from "@geraniumkeel/wire";
import * as engine from "./engine.ts";
import * as httpEngine from "./http_engine.ts";
import * as plainService from "./plain_service.ts";

const test = ava.default;

const PROGRESS_MILLISECONDS = 1_000;
const MAX_MILLISECONDS = 1_500;
const HEAD = "HTTP/1.1 200 OK\r\n";

/** A back end that answers each connection by what `answer` does to its socket. */
async function startBackEnd(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket) => void,
): Promise<{
  engine: httpEngine.HttpEngine;
  service: plainService.HttpPlainService;
  /** Kinds of the wrong answers that both clients reported. */
  wrong: common.WrongAnswerKind[];
}> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const wrong: common.WrongAnswerKind[] = [];
  const parameters = {
    progressTimeoutMilliseconds: PROGRESS_MILLISECONDS,
    onWrongAnswer: ({ kind }: common.WrongAnswer) => wrong.push(kind),
  };
  const clients = {
    engine: new httpEngine.HttpEngine(origin, parameters),
    service: new plainService.HttpPlainService(origin, parameters),
    wrong,
  };
  t.teardown(async () => {
    await clients.engine.close();
    await clients.service.close();
    server.close();
  });
  return clients;
}

function framed(text: string): string {
  return `${HEAD}Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

const CALL: engine.GenerateCall = {
  identifier: "g",
  prompt: "p",
  maximumTokens: 1,
  urgency: 1,
  options: {},
};

async function lastItem(
  client: httpEngine.HttpEngine,
): Promise<engine.EngineItem | undefined> {
  let last: engine.EngineItem | undefined;
  for await (const item of client.generate(CALL, new AbortController().signal))
    last = item;
  return last;
}

/** Status, or the end of a call that had none. */
async function callService(
  service: plainService.HttpPlainService,
): Promise<number | string> {
  const call = {
    method: "GET",
    path: "/",
    headers: [],
    body: new Uint8Array(),
  };
  const answer = await service.call(call, new AbortController().signal);
  if (answer.isErr()) return answer.error.kind;
  try {
    const pieces: Uint8Array[] = [];
    for await (const piece of answer.value.body) pieces.push(piece);
    return pieces.length > 0 ? answer.value.status : "empty";
  } catch {
    return "broken";
  }
}

// Guards against JSON of another shape that ends the upstream process.
test("items and reports of another shape are failures", async (t) => {
  let text = "";
  const { engine: client } = await startBackEnd(t, (socket) =>
    socket.end(framed(text)),
  );
  const shapes = ["null", "7", "[]", "{}", '{"kind":"token"}', "[null]", "x"];
  for (const shape of shapes) {
    text = `${shape}\n`;
    const item = await lastItem(client);
    t.is(item?.kind, engine.EngineItemKind.Broken, shape);
    if (!shape.startsWith("{")) t.true((await client.load()).isErr(), shape);
    if (shape !== "[]") t.true((await client.cacheEvents(0)).isErr(), shape);
    const order = { kind: wire.OrderKind.Inspect } as wire.EngineOrder;
    if (!shape.startsWith("{"))
      t.true((await client.order(order)).isErr(), shape);
  }
});

// Guards against a status that the answer to a caller can't have.
test("only statuses of final answers are taken from a service", async (t) => {
  let status = "";
  const { service } = await startBackEnd(t, (socket) =>
    socket.end(framed("ok").replace("200", status)),
  );
  for (status of ["000", "099", "101", "600", "999"])
    t.is(await callService(service), "plain-failure", status);
  for (status of ["200", "302", "404", "500", "599"])
    t.is(await callService(service), Number(status));
});

// Guards against an extra answer, sent late, that is taken for the next call's.
test("an extra answer of a service is no answer to the next call", async (t) => {
  let calls = 0;
  const { service } = await startBackEnd(t, (socket) => {
    const own = framed("ok").replace("200", String(201 + calls++));
    socket.write(own);
    socket.on("data", () => socket.write(own));
  });
  t.is(await callService(service), 201);
  await common.nextTurn();
  t.is(await callService(service), 202);
});

// Guards against bytes without end that keep the upstream process busy.
test("answers without end fail in bounded time", async (t) => {
  const endless = [
    ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    [HEAD, "name: value\r\n"],
    [`${HEAD}\r\n`, "x".repeat(65_536)],
    ["HTTP/1.1 500 X\r\n\r\n", "x".repeat(65_536)],
    ["HTTP/1.1 503 X\r\n\r\n", "x".repeat(65_536)],
  ];
  for (const [head, piece] of endless) {
    const { engine: client } = await startBackEnd(t, (socket) => {
      socket.write(head);
      httpCallFixture.writeWithoutEnd(socket, Buffer.from(piece));
    });
    const startedAt = common.now();
    const item = await lastItem(client);
    t.not(item?.kind, engine.EngineItemKind.Token);
    t.true((await client.load()).isErr(), head);
    const took = common.now() - startedAt;
    t.true(took < MAX_MILLISECONDS, `${head.trim()}: ${took} ms`);
  }
});

// Guards against a refusal whose body, which nobody reads, ends the process by an error.
test("a refusal of an engine closes its connection, whatever its body", async (t) => {
  for (const body of ["", "busy", "x".repeat(200_000)]) {
    let closed = false;
    const { engine: client } = await startBackEnd(t, (socket) => {
      socket.once("close", () => (closed = true));
      socket.write(framed(body).replace("200 OK", "503 Busy"));
    });
    const item = await lastItem(client);
    t.is(item?.kind, engine.EngineItemKind.NotStarted);
    while (!closed) await common.sleep(5);
  }
});

// Guards against wrong answers that nobody can count.
test("each wrong answer is reported once, by its kind", async (t) => {
  const status = framed("ok").replace("200", "600");
  const byStatus = await startBackEnd(t, (socket) => socket.end(status));
  await callService(byStatus.service);
  t.deepEqual(byStatus.wrong, [common.WrongAnswerKind.Status]);
  const byHeads = await startBackEnd(t, (socket) =>
    httpCallFixture.writeWithoutEnd(
      socket,
      Buffer.from("HTTP/1.1 103 Early Hints\r\n\r\n"),
    ),
  );
  await callService(byHeads.service);
  t.deepEqual(byHeads.wrong, [common.WrongAnswerKind.InterimHeads]);
});
