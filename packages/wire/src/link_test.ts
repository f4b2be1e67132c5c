import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import * as msgpackr from "msgpackr";
import * as common from "@geraniumkeel/common";
import * as codec from "./codec.ts";
import * as link from "./link.ts";
import * as linkServer from "./link_server.ts";
import type * as message from "./message.ts";
import * as messageKind from "./message_kind.ts";

const test = ava.default;
const TIMING = { heartbeat: 40, silentAfter: 200, connectTimeout: 500 };
const KEY = "key";
const heartbeat = () => ({ clock: 1, revision: 2 });

async function startServer(
  t: ava.ExecutionContext,
  onLink: (opened: link.Link) => void,
  timing: link.LinkTiming = TIMING,
): Promise<{ url: string }> {
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const path = "/link";
  const parameters = { server, path, key: KEY, timing, heartbeat, onLink };
  const accepting = linkServer.acceptLinks(parameters);
  const { port } = server.address() as net.AddressInfo;
  t.teardown(() => {
    accepting.close();
    server.close();
    server.closeAllConnections();
  });
  return { url: `ws://127.0.0.1:${port}${path}` };
}

// The far end accepts the connection and never says anything, as when something
// between has lost track of it. No error ever comes; heartbeats end the link.
test("a link that goes silent ends by itself", async (t) => {
  const { url } = await startServer(t, (opened) => {
    // It goes on reading; only its own words, heartbeats too, are held back.
    opened.send = () => {};
  });
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  t.is(await opened.receive(), undefined);
  t.is(opened.end, link.LinkEnd.Silent);
});

test("heartbeats keep an idle link open and carry the revision", async (t) => {
  const { url } = await startServer(t, () => {});
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  const beats = new common.Channel<number>();
  opened.onHeartbeat = (beat) => beats.push(beat.revision);
  for (let count = 0; count < 8; count++) t.is(await beats.receive(), 2);
  t.is(opened.end, undefined);
  opened.close();
});

test("a wrong key is refused before the link opens", async (t) => {
  const { url } = await startServer(t, () => t.fail());
  const dialled = await link.dial({
    url,
    key: "other",
    timing: TIMING,
    heartbeat,
  });
  t.true(dialled.isErr() && dialled.error.refused);
});

test("a frame that is no message of ours is an error", (t) => {
  t.true(codec.decode(Buffer.from([0xc1])).isErr());
  const unknown = { kind: 99 } as unknown as message.Message;
  t.true(codec.decode(codec.encode(unknown)).isErr());
  const sent = { kind: messageKind.MessageKind.Drain } as const;
  t.deepEqual(codec.decode(codec.encode(sent))._unsafeUnwrap(), sent);
});

// Heartbeats of the link cost as much as the messages that make them needless.
test("heartbeats are sent only while nothing else is, if the link says so", async (t) => {
  const timing = { ...TIMING, heartbeatsOnlyInSilence: true };
  const drain = { kind: messageKind.MessageKind.Drain } as const;
  const accepted = new common.Channel<link.Link>();
  const { url } = await startServer(t, (one) => accepted.push(one), timing);
  const dialled = await link.dial({ url, key: KEY, timing, heartbeat });
  const opened = dialled._unsafeUnwrap();
  const far = await accepted.receive();
  let heartbeats = 0;
  opened.onHeartbeat = () => heartbeats++;
  for (let count = 0; count < 40; count++) {
    opened.send(drain);
    far?.send(drain);
    await common.sleep(10);
  }
  t.is(heartbeats, 0);
  // Silent from here on: heartbeats alone keep the link open.
  const before = common.now();
  while (heartbeats < 8) await common.sleep(5);
  t.true(common.now() - before >= TIMING.silentAfter);
  t.is(opened.end, undefined);
  opened.close();
});

// A message that arrives before the handler is there must not be lost or
// overtaken by later ones.
test("a handler gets all messages in order, until the link ends", async (t) => {
  const { url } = await startServer(t, (far) => {
    for (let question = 0; question < 3; question++) {
      far.send({ kind: messageKind.MessageKind.StateRequest, question });
    }
  });
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  const first = await opened.receive();
  const received = [first];
  await opened.handleMessages((value) => {
    received.push(value);
    if (received.length === 3) opened.close();
  });
  const questions = received.map((value) =>
    value?.kind === messageKind.MessageKind.StateRequest
      ? value.question
      : undefined,
  );
  t.deepEqual(questions, [0, 1, 2]);
  t.is(opened.end, link.LinkEnd.Closed);
});

// The exception was thrown inside an event of the socket, and so ended the
// process without the name of the task that had failed.
test("an exception of a handler fails the task that handles messages", async (t) => {
  const question = { kind: messageKind.MessageKind.StateRequest, question: 1 };
  const { url } = await startServer(t, (far) => {
    far.send(question as message.Message);
    // The handler is in place when this message arrives: it answers another one.
    void far.receive().then(() => far.send(question as message.Message));
  });
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  await opened.receive();
  const handling = opened.handleMessages(() => {
    throw new Error("broken invariant");
  });
  opened.send(question as message.Message);
  await t.throwsAsync(handling, { message: "broken invariant" });
  t.is(opened.end, link.LinkEnd.Closed);
});

// A reader of such a message throws, and a faulty peer would stop the process.
test("a message between entries without its lists or objects is an error", (t) => {
  const kinds = messageKind.MessageKind;
  const member = { host: "a" };
  const crash = { seenBy: [], suspicions: [{}] };
  const isReadable = (value: object) =>
    codec.decode(new msgpackr.Packr({ useRecords: false }).pack(value)).isOk();
  for (const value of [
    { kind: kinds.MeshHello },
    { kind: kinds.MeshHello, member, others: [undefined] },
    { kind: kinds.MeshHeartbeat },
    { kind: kinds.MeshLoad },
    { kind: kinds.MeshConfiguration, version: 1 },
    { kind: kinds.MeshRunners, packed: new Uint8Array(1) },
    { kind: kinds.MeshEvacuations },
    { kind: kinds.Suspicions, ends: [] },
    { kind: kinds.Suspicions, ends: [{ ...crash, suspicions: 1 }], held: [] },
    { kind: kinds.RateLimitReports, limits: [null] },
  ]) {
    t.false(isReadable(value), JSON.stringify(value));
  }
  for (const value of [
    { kind: kinds.MeshHello, member, others: [member] },
    { kind: kinds.MeshRunners, version: 1, packed: Buffer.from([1]) },
    { kind: kinds.Suspicions, ends: [crash], held: ["f"] },
    { kind: kinds.RateLimitReports, limits: [{}] },
  ]) {
    t.true(isReadable(value), JSON.stringify(value));
  }
});
