import type * as net from "node:net";
import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as httpCallFixture from "./http_call_fixture.ts";

const test = ava.default;

/** A fixed seed in CI; by hand others, and more runs. */
const SEED = Number(process.env.GERANIUMKEEL_FUZZ_SEED ?? 54);
const RUNS = Number(process.env.GERANIUMKEEL_FUZZ_RUNS ?? 400);
/** Time after which a call is ended that its far end leaves open. */
const DEADLINE_MILLISECONDS = 60;
const LATE_MILLISECONDS = 500;

const HEADERS = [
  "HTTP/1.1 200 OK",
  "Request-Identifier: q",
  "Signature: s",
  "Retry-After: 1",
].join("\r\n");
const SOUND = [
  `${HEADERS}\r\nContent-Length: 4\r\n\r\nbody`,
  `${HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n`,
  `${HEADERS}\r\n\r\nbody`,
];
const EXTRAS = [
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
  "Content-Length: 9999999999999999999999\r\n",
  "Content-Length: 4\r\nContent-Length: 5\r\n",
  "Transfer-Encoding: gzip\r\n",
  "\0",
  "\r\n",
  "ffffffffffffffffff\r\n",
];

/** How a sound answer is spoiled. */
type Change =
  | { kind: "flip"; place: number; bit: number }
  | { kind: "cut"; place: number }
  | { kind: "insert"; place: number; text: string }
  | { kind: "status"; status: number };

const place = fastCheck.nat(200);
const change: fastCheck.Arbitrary<Change> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant("flip" as const),
    place,
    bit: fastCheck.nat(7),
  }),
  fastCheck.record({ kind: fastCheck.constant("cut" as const), place }),
  fastCheck.record({
    kind: fastCheck.constant("insert" as const),
    place,
    text: fastCheck.constantFrom(...EXTRAS),
  }),
  fastCheck.record({
    kind: fastCheck.constant("status" as const),
    status: fastCheck.nat(9_999),
  }),
);
const spoiled = fastCheck.record({
  sound: fastCheck.constantFrom(...SOUND),
  changes: fastCheck.array(change, { maxLength: 3 }),
  ending: fastCheck.constantFrom("end", "reset", "open"),
  /** Bytes that are written at a time. */
  step: fastCheck.constantFrom(1, 7, 1_000),
});

function apply(text: string, made: Change): string {
  switch (made.kind) {
    case "flip": {
      const bytes = Buffer.from(text, "latin1");
      if (made.place < bytes.length) bytes[made.place] ^= 1 << made.bit;
      return bytes.toString("latin1");
    }
    case "cut":
      return text.slice(0, made.place);
    case "insert":
      return text.slice(0, made.place) + made.text + text.slice(made.place);
    case "status":
      return text.replace("200", String(made.status));
  }
}

interface Spoiled {
  sound: string;
  changes: Change[];
  ending: string;
  step: number;
}

function answer(socket: net.Socket, given: Spoiled): void {
  const text = given.changes.reduce(apply, given.sound);
  for (let from = 0; from < text.length; from += given.step)
    socket.write(Buffer.from(text.slice(from, from + given.step), "latin1"));
  if (given.ending === "end") socket.end();
  if (given.ending === "reset") socket.resetAndDestroy();
}

// Guards against an answer that ends the process, or a call that does not settle.
test("each call settles once and in time, whatever its far end answers", async (t) => {
  let given: Spoiled;
  const farEnd = new httpCallFixture.FarEnd((socket) => answer(socket, given));
  t.teardown(() => farEnd.close());
  const port = await farEnd.listen();
  const property = fastCheck.asyncProperty(spoiled, async (next) => {
    given = next;
    const signal = AbortSignal.timeout(DEADLINE_MILLISECONDS);
    const outcome = await httpCallFixture.outcomeOf(port, { signal });
    if (outcome.milliseconds > DEADLINE_MILLISECONDS + LATE_MILLISECONDS)
      throw new Error(`took ${outcome.milliseconds} ms`);
    if (outcome.answer === undefined) return;
    const { status } = outcome.answer;
    if (status < 200 || status > 599) throw new Error(`status ${status}`);
    if (given.changes.length === 0 && outcome.answer.body !== "body")
      throw new Error(`body ${outcome.answer.body}`);
  });
  await fastCheck.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
