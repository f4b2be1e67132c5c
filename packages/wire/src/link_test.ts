import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as codec from "./codec.ts";
import * as link from "./link.ts";
import * as linkServer from "./link_server.ts";
import * as message from "./message.ts";

const test = ava.default;
const TIMING = { heartbeat: 40, silentAfter: 200, connectTimeout: 500 };
const KEY = "key";
const heartbeat = () => ({ clock: 1, revision: 2 });

async function startServer(
  onLink: (opened: link.Link) => void,
): Promise<{ url: string; server: http.Server; close: () => void }> {
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const path = "/link";
  const timing = TIMING;
  const parameters = { server, path, key: KEY, timing, heartbeat, onLink };
  const accepting = linkServer.acceptLinks(parameters);
  const { port } = server.address() as net.AddressInfo;
  const close = () => {
    accepting.close();
    server.close();
    server.closeAllConnections();
  };
  return { url: `ws://127.0.0.1:${port}${path}`, server, close };
}

// The far end accepts the connection and never says anything, as when something
// between has lost track of it. No error ever comes; heartbeats end the link.
test("a link that goes silent ends by itself", async (t) => {
  const { url, close } = await startServer((opened) => {
    opened.socket.removeAllListeners("message");
    // Never answers: its own heartbeats are held back too.
    opened.send = () => {};
  });
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  t.is(await opened.receive(), undefined);
  t.is(opened.end, link.LinkEnd.Silent);
  close();
});

test("heartbeats keep an idle link open and carry the revision", async (t) => {
  const { url, close } = await startServer(() => {});
  const dialled = await link.dial({ url, key: KEY, timing: TIMING, heartbeat });
  const opened = dialled._unsafeUnwrap();
  const beats = new common.Channel<number>();
  opened.onHeartbeat = (beat) => beats.push(beat.revision);
  for (let count = 0; count < 8; count++) t.is(await beats.receive(), 2);
  t.is(opened.end, undefined);
  opened.close();
  close();
});

test("a wrong key is refused before the link opens", async (t) => {
  const { url, close } = await startServer(() => t.fail());
  const dialled = await link.dial({
    url,
    key: "other",
    timing: TIMING,
    heartbeat,
  });
  t.true(dialled.isErr() && dialled.error.refused);
  close();
});

test("a frame that is no message of ours is an error", (t) => {
  t.true(codec.decode(Buffer.from([0xc1])).isErr());
  t.true(codec.decode(codec.encode({ kind: 99 } as never)).isErr());
  const sent = { kind: message.MessageKind.Drain } as const;
  t.deepEqual(codec.decode(codec.encode(sent))._unsafeUnwrap(), sent);
});
