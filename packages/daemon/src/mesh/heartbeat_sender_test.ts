import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as heartbeatClock from "./heartbeat_clock.ts";
import * as heartbeatSender from "./heartbeat_sender.ts";
import * as meshPeer from "./mesh_peer.ts";

const test = ava.default;

const STATE: heartbeatSender.HeartbeatState = {
  ready: true,
  leaving: false,
  storeReachable: true,
  tableEpoch: 1,
  configuration: { version: 1, age: 0 },
  runners: { version: 1, age: 0 },
  outstanding: [],
};

function createPeer(side: wire.LinkSide): {
  peer: meshPeer.MeshPeer;
  sent: wire.MeshHeartbeat[];
} {
  const sent: wire.MeshHeartbeat[] = [];
  const send = (message: wire.MeshHeartbeat) => sent.push(message);
  const link = { side, end: undefined, send } as unknown as wire.Link;
  const member = {
    host: side,
    dataCentre: "z",
    address: "127.0.0.1",
    linkPort: 1,
    callerPort: 2,
  };
  return { peer: new meshPeer.MeshPeer(member, "i", link), sent };
}

function createSender(): heartbeatSender.HeartbeatSender {
  const clock = new heartbeatClock.HeartbeatClock();
  return new heartbeatSender.HeartbeatSender(clock, () => STATE);
}

function heartbeat(stamp: number): wire.MeshHeartbeat {
  const kind = wire.MessageKind.MeshHeartbeat;
  return { kind, stamp, echoedStamp: -1, echoedAge: 0, ...STATE };
}

test("only the end that accepted the link answers, and not too often", (t) => {
  const sender = createSender();
  const dialled = createPeer(wire.LinkSide.Dialled);
  const accepted = createPeer(wire.LinkSide.Accepted);
  for (const { peer } of [dialled, accepted]) {
    peer.receive(heartbeat(7));
    sender.answer(peer);
    sender.answer(peer);
  }
  t.is(dialled.sent.length, 0);
  t.is(accepted.sent.length, 1);
  t.is(accepted.sent[0].echoedStamp, 7);
});

// The end that dialled may be of a version that sends rarely, or its heartbeats
// are lost on their way. The peer must not take this entry for unreachable.
test("an end with nothing to answer sends in each interval", (t) => {
  const sender = createSender();
  const { peer, sent } = createPeer(wire.LinkSide.Accepted);
  const interval = heartbeatSender.HEARTBEAT_INTERVAL_MILLISECONDS;
  sender.tick([peer]);
  sender.tick([peer]);
  t.is(sent.length, 1);
  peer.heartbeatSentAt -= interval;
  sender.tick([peer]);
  t.is(sent.length, 2);
  const dialled = createPeer(wire.LinkSide.Dialled);
  sender.tick([dialled.peer]);
  sender.tick([dialled.peer]);
  t.is(dialled.sent.length, 2);
});

test("a change that peers must know at once goes to all of them", (t) => {
  const sender = createSender();
  const peers = [wire.LinkSide.Dialled, wire.LinkSide.Accepted].map(createPeer);
  sender.tick(peers.map(({ peer }) => peer));
  sender.sendToAll(peers.map(({ peer }) => peer));
  for (const { sent } of peers) t.is(sent.length, 2);
});
