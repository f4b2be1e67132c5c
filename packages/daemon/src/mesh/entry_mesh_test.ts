import * as http from "node:http";
import type * as net from "node:net";
import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as listenModule from "../settings/listen.ts";
import * as entryMesh from "./entry_mesh.ts";

const test = ava.default;

function memberOf(host: string): wire.MeshMember {
  const address = "127.0.0.1";
  return { host, dataCentre: "z", address, linkPort: 1, callerPort: 2 };
}

/** Starts an entry; returns its mesh and the URL of its links. */
async function startEntry(
  t: ava.ExecutionContext,
): Promise<{ mesh: entryMesh.EntryMesh; url: string }> {
  const lifeCycle = new common.LifeCycle("entry");
  const epoch = { number: 1, began: new common.ChangeNotice() };
  const rows = {
    epoch,
    register: () => Promise.resolve({ epoch: 1 }),
    read: () => Promise.resolve(neverthrow.ok([])),
  };
  const mesh = new entryMesh.EntryMesh({
    self: memberOf("a"),
    incarnation: "i",
    rows: rows as never,
    seeds: [],
    configuration: new traffic.ProvenValue(),
    runners: new traffic.ProvenValue(),
    evacuations: new traffic.ProvenValue(),
    ready: () => true,
    storeReachable: () => true,
    outstanding: () => [],
    onOutstanding: () => {},
    suspicions: { receive: () => {}, initialMessage: () => undefined },
    rateLimits: {
      receive: () => {},
      initialMessage: () => undefined,
      onDisconnected: () => {},
    },
    onLoad: () => {},
    random: new common.Random(1),
    logger: { event: () => {} },
    lifeCycle,
  });
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  mesh.start(server);
  t.teardown(async () => {
    await lifeCycle.close();
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as net.AddressInfo;
  return { mesh, url: `ws://127.0.0.1:${port}${listenModule.LINK_PATH}` };
}

/** Number of the next heartbeat on a link; `undefined` once it has ended. */
async function nextStamp(link: wire.Link): Promise<number | undefined> {
  for await (const message of link.messages()) {
    if (message.kind === wire.MessageKind.MeshHeartbeat) return message.stamp;
  }
  return undefined;
}

/** Opens a link as entry "b". */
async function openLink(url: string): Promise<wire.Link> {
  const dialled = await wire.dial({
    url,
    key: entryMesh.LINK_KEY,
    timing: entryMesh.LINK_TIMING,
    heartbeat: entryMesh.emptyHeartbeat,
  });
  const link = dialled._unsafeUnwrap();
  link.send({
    kind: wire.MessageKind.MeshHello,
    member: memberOf("b"),
    incarnation: "i",
    others: [],
  });
  return link;
}

// An entry that dialled twice may close the link that this end saw last. If this
// end had closed the other one, as the one it saw first, none would be left.
test("the first of two links is used again when the second is closed", async (t) => {
  const { url } = await startEntry(t);
  const first = await openLink(url);
  t.not(await nextStamp(first), undefined);
  const second = await openLink(url);
  const lastStamp = (await nextStamp(second)) ?? Infinity;
  second.close(wire.LinkEnd.Replaced);
  let stamp: number | undefined;
  do stamp = await nextStamp(first);
  while (stamp !== undefined && stamp <= lastStamp);
  t.not(stamp, undefined);
  t.is(first.end, undefined);
  first.close();
});

/** Sends a heartbeat and waits until the entry has answered it. */
async function beat(link: wire.Link): Promise<void> {
  const proof = { version: 0, age: -1 };
  link.send({
    kind: wire.MessageKind.MeshHeartbeat,
    stamp: 1,
    echoedStamp: -1,
    echoedAge: 0,
    ready: true,
    leaving: false,
    storeReachable: true,
    tableEpoch: 1,
    configuration: proof,
    runners: proof,
    evacuations: proof,
    outstanding: [],
  });
  await nextStamp(link);
}

// An entry that wakes, or that was cut off, takes its own gap for an outage of the
// store, and brings runners back that left meanwhile.
test("an entry is in touch with others as long as each is heard", async (t) => {
  const { mesh, url } = await startEntry(t);
  const before = common.instant();
  t.true(mesh.heardAllSince(before));
  const link = await openLink(url);
  await beat(link);
  // The other one was not known before.
  t.true(mesh.heardAllSince(before));
  const linked = common.instant();
  const known = common.now();
  while (common.now() < known + 1_500) {
    await beat(link);
    t.true(mesh.heardAllSince(linked));
  }
  const latest = common.now() + 10_000;
  while (mesh.heardAllSince(linked) && common.now() < latest) {
    await nextStamp(link);
  }
  t.false(mesh.heardAllSince(linked));
  // It is heard again, and not since then.
  const again = common.instant();
  await beat(link);
  t.false(mesh.heardAllSince(linked));
  t.false(mesh.heardAllSince(again));
  const heard = common.instant();
  await beat(link);
  t.true(mesh.heardAllSince(heard));
  link.close();
});
