import type * as net from "node:net";
import * as ava from "ava";
import * as clock from "./clock.ts";
import * as httpCall from "./http_call.ts";
import * as httpCallFixture from "./http_call_fixture.ts";
import * as wrongAnswer from "./wrong_answer.ts";

const test = ava.default;
const { FarEnd, outcomeOf } = httpCallFixture;
const { WrongAnswerKind } = wrongAnswer;

/** Longest time for what needs no wait. */
const AT_ONCE_MILLISECONDS = 500;

const CONDITION_MILLISECONDS = 5_000;

async function until(condition: () => boolean): Promise<void> {
  const latest = clock.now() + CONDITION_MILLISECONDS;
  while (!condition()) {
    if (clock.now() > latest) throw new Error("condition not met in time");
    await clock.sleep(5);
  }
}

async function startFarEnd(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket) => void,
): Promise<number> {
  const farEnd = new FarEnd(answer);
  t.teardown(() => farEnd.close());
  return farEnd.listen();
}

const EMPTY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a status that the answer to a caller can't have.
test("only statuses of final answers are taken", async (t) => {
  let status = 0;
  const port = await startFarEnd(t, (socket) =>
    socket.end(EMPTY.replace("200", String(status).padStart(3, "0"))),
  );
  for (; status < 1_000; status++) {
    const { answer, failure, wrong } = await outcomeOf(port);
    const isFinal = status >= 200 && status <= 599;
    if (isFinal) {
      t.is(answer?.status, status);
      continue;
    }
    t.is(failure?.kind, httpCall.HttpCallFailureKind.Unanswered, `${status}`);
    if (status < 100 || status > 599)
      t.deepEqual(wrong, [WrongAnswerKind.Status]);
  }
});

// Guards against an answer in a version of the protocol that isn't spoken here.
test("only HTTP/1.1 and HTTP/1.0 are taken", async (t) => {
  for (const [version, isTaken] of [
    ["1.1", true],
    ["1.0", true],
    ["0.9", false],
    ["2.0", false],
    ["1.7", false],
  ] as const) {
    const port = await startFarEnd(t, (socket) =>
      socket.end(SOUND.replace("1.1", version)),
    );
    const { answer, failure, wrong } = await outcomeOf(port);
    t.is(answer !== undefined, isTaken, version);
    t.is(failure !== undefined, !isTaken, version);
    t.is(wrong.length, isTaken ? 0 : 1, version);
  }
});

// Guards against a value without a place in HTTP that throws where it is written.
test("a request that can't be written fails as not sent", async (t) => {
  const port = await startFarEnd(t, (socket) => socket.end(SOUND));
  const name = String.fromCodePoint(0x4e2d);
  for (const change of [{ headers: ["Account", name] }, { path: "/a b" }]) {
    const { failure } = await outcomeOf(port, change);
    t.is(failure?.kind, httpCall.HttpCallFailureKind.Unwritable);
  }
});

const UPGRADE =
  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";

// Guards against a call that never settles: the client emits no answer and no error.
test("a switch of protocols that nobody asked for fails the call at once", async (t) => {
  const port = await startFarEnd(t, (socket) => socket.write(UPGRADE));
  const { failure, wrong, milliseconds } = await outcomeOf(port);
  t.is(failure?.kind, httpCall.HttpCallFailureKind.Unanswered);
  t.deepEqual(wrong, [WrongAnswerKind.Upgrade]);
  t.true(milliseconds < AT_ONCE_MILLISECONDS, `${milliseconds} ms`);
});

// Guards against a call that waits for an event which its connection leaves out.
test("a call settles however its connection ends", async (t) => {
  const endings: ((socket: net.Socket) => unknown)[] = [
    (socket) => socket.destroy(),
    (socket) => socket.end(),
    (socket) => socket.resetAndDestroy(),
    (socket) => socket.end("HTTP/1.1 103 Early Hints\r\n\r\n"),
    (socket) => socket.end("HTTP/1.1 100 Continue\r\n\r\n"),
    (socket) => socket.end(SOUND.slice(0, 20)),
    (socket) => socket.end(UPGRADE + SOUND),
    (socket) => socket.end("no answer"),
  ];
  for (const [index, ending] of endings.entries()) {
    const port = await startFarEnd(t, ending);
    const { failure } = await outcomeOf(port);
    const { kind } = failure ?? {};
    t.is(kind, httpCall.HttpCallFailureKind.Unanswered, `ending ${index}`);
  }
});

// Guards against an answer that is complete, and lost for the bytes behind it.
test("bytes behind a complete answer are no part of it", async (t) => {
  const chunked = SOUND.replace(
    "Content-Length: 2",
    "Transfer-Encoding: chunked",
  );
  const answers = [SOUND, chunked.replace("ok", "2\r\nok\r\n0\r\n\r\n")];
  for (const answer of answers) {
    for (const extra of ["more bytes", SOUND.replace("ok", "no"), "\0"]) {
      const port = await startFarEnd(t, (socket) => socket.end(answer + extra));
      const outcome = await outcomeOf(port);
      t.is(outcome.answer?.body, "ok", outcome.truncated);
    }
  }
});

/** Answers that go on for as long as they are read. */
const ENDLESS: Record<string, { head: string; piece: string }> = {
  "interim heads": { head: "", piece: "HTTP/1.1 103 Early Hints\r\n\r\n" },
  "one head": { head: "HTTP/1.1 200 OK\r\n", piece: "name: value\r\n" },
  "a header": { head: "HTTP/1.1 200 OK\r\nname: ", piece: "v".repeat(1_000) },
  "a body that ends with its connection": {
    head: "HTTP/1.1 200 OK\r\n\r\n",
    piece: "x".repeat(16_384),
  },
  "a failure": {
    head: "HTTP/1.1 500 Internal Server Error\r\n\r\n",
    piece: "x".repeat(16_384),
  },
  "small chunks": {
    head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    piece: "1\r\nx\r\n".repeat(100),
  },
  "bytes behind the answer": { head: SOUND, piece: "x".repeat(16_384) },
  "what is no answer": { head: "", piece: "x".repeat(16_384) },
};

// Guards against bytes without end that keep the process busy, or fill its memory.
test("an answer without end costs bounded time and memory", async (t) => {
  for (const [name, { head, piece }] of Object.entries(ENDLESS)) {
    const farEnd = new FarEnd((socket) => {
      socket.write(head);
      httpCallFixture.writeWithoutEnd(socket, Buffer.from(piece));
    });
    t.teardown(() => farEnd.close());
    const port = await farEnd.listen();
    const busy = process.cpuUsage();
    const outcome = await outcomeOf(port, {
      signal: AbortSignal.timeout(5_000),
    });
    const { user, system } = process.cpuUsage(busy);
    t.true(outcome.milliseconds < 1_000, `${name}: ${outcome.milliseconds} ms`);
    t.true(user + system < 1_000_000, `${name}: ${user + system} us busy`);
    t.is(outcome.answer?.body, head === SOUND ? "ok" : undefined, name);
    await until(() => farEnd.openConnections === 0);
  }
});

// Guards against a body of a known length that is read although it is too long.
test("a body whose announced length is too long is not read", async (t) => {
  const port = await startFarEnd(t, (socket) =>
    socket.write(SOUND.replace("Content-Length: 2", "Content-Length: 9000000")),
  );
  const { wrong } = await outcomeOf(port);
  t.deepEqual(wrong, [WrongAnswerKind.TooLong]);
});

// Guards against a connection that stays open, as nobody reads its body.
test("a call that is closed closes its connection", async (t) => {
  const farEnd = new FarEnd((socket) => {
    socket.write("HTTP/1.1 503 Service Unavailable\r\n\r\n");
    httpCallFixture.writeWithoutEnd(socket, Buffer.alloc(16_384));
  });
  t.teardown(() => farEnd.close());
  const options = httpCallFixture.createOptions(await farEnd.listen());
  const answer = await httpCall.httpCall(options);
  answer._unsafeUnwrap().close();
  await until(() => farEnd.openConnections === 0);
  t.pass();
});
