import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as heartbeatClock from "./heartbeat_clock.ts";
import * as heartbeatInterval from "./heartbeat_interval.ts";
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
  evacuations: { version: 1, age: 0 },
  outstanding: [],
};

/** The interval of an entry with few peers. */
const EVERY_TICK = new heartbeatInterval.HeartbeatInterval(10);

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

// A gap of two intervals between heartbeats without news left 400 ms or less
// before the peer takes this entry for unreachable (1,000 ms). One lost packet
// and a pause of 100 ms exceeded that.
test("both ends send at every tick, without news too", (t) => {
  for (const side of [wire.LinkSide.Dialled, wire.LinkSide.Accepted]) {
    const sender = createSender();
    const { peer, sent } = createPeer(side);
    for (let tick = 0; tick < 8; tick++) {
      sender.tick([peer], EVERY_TICK);
      peer.heartbeatSentAt -= heartbeatInterval.TICK_MILLISECONDS;
    }
    t.is(sent.length, 8);
  }
});

// The peers choose runners by the counts, and callers by readiness: neither may
// be more than an interval old, at either end of a link.
test("counts, their end, and other changes are sent in the next interval", (t) => {
  for (const side of [wire.LinkSide.Dialled, wire.LinkSide.Accepted]) {
    let state = STATE;
    const clock = new heartbeatClock.HeartbeatClock();
    const sender = new heartbeatSender.HeartbeatSender(clock, () => state);
    const { peer, sent } = createPeer(side);
    const tick = (changed: heartbeatSender.HeartbeatState) => {
      state = changed;
      peer.heartbeatSentAt -= heartbeatInterval.TICK_MILLISECONDS;
      sender.tick([peer], EVERY_TICK);
    };
    tick(STATE);
    const loaded = {
      ...STATE,
      outstanding: [["i-1", 2]] as [string, number][],
    };
    const states = [
      loaded,
      loaded,
      STATE,
      { ...STATE, ready: false },
      { ...STATE, storeReachable: false },
      { ...STATE, tableEpoch: 2 },
      { ...STATE, configuration: { version: 2, age: 0 } },
      { ...STATE, runners: { version: 2, age: 0 } },
    ];
    for (const changed of states) tick(changed);
    t.is(sent.length, 1 + states.length);
  }
});

// The process may be paused just after the ages of the proofs were read. If the
// age of the echo contained the pause, a peer would date the proofs too late by
// it, and an entry cut off from the store would serve a document for too long.
test("the age of the echo is not later than the ages of the proofs", (t) => {
  let readAt = 0;
  const clock = new heartbeatClock.HeartbeatClock();
  const sender = new heartbeatSender.HeartbeatSender(clock, () => {
    readAt = common.now();
    while (common.now() < readAt + 5);
    return STATE;
  });
  for (const send of [
    (peer: meshPeer.MeshPeer) => sender.tick([peer], EVERY_TICK),
    (peer: meshPeer.MeshPeer) => sender.sendToAll([peer]),
    (peer: meshPeer.MeshPeer) => sender.sendFirst(peer),
    (peer: meshPeer.MeshPeer) => sender.answer(peer),
  ]) {
    const { peer, sent } = createPeer(wire.LinkSide.Accepted);
    peer.receive(heartbeat(1));
    send(peer);
    t.is(sent.length, 1);
    t.true(sent[0].echoedAge <= peer.echo(readAt).echoedAge);
  }
});

// A tick soon after each answer would double the messages. A tick that is left
// out for an older answer would leave a gap of more than 450 ms if the peer's
// next heartbeat is late.
test("a tick is left out only within 150 ms after an answer", (t) => {
  const sender = createSender();
  const { peer, sent } = createPeer(wire.LinkSide.Accepted);
  peer.receive(heartbeat(1));
  sender.answer(peer);
  sender.tick([peer], EVERY_TICK);
  t.is(sent.length, 1);
  peer.heartbeatSentAt = common.now() - 150;
  sender.tick([peer], EVERY_TICK);
  t.is(sent.length, 2);
  // The last heartbeat was sent at a tick and not as an answer.
  sender.tick([peer], EVERY_TICK);
  t.is(sent.length, 3);
});

// An answer that was held back because a heartbeat had just been sent, together
// with a tick that was left out for the same reason, delayed news by 450 ms.
test("the shortest interval holds back an answer or a tick, not both", (t) => {
  const sender = createSender();
  for (const [first, second] of [
    ["tick", "answer"],
    ["answer", "tick"],
  ] as const) {
    const { peer, sent } = createPeer(wire.LinkSide.Accepted);
    const send = {
      tick: () => sender.tick([peer], EVERY_TICK),
      answer: () => sender.answer(peer),
    };
    sender.answer(peer);
    send[first]();
    t.is(sent.length, 1);
    send[second]();
    t.is(sent.length, 2);
  }
});

// A peer that sends far too often must not be answered as often, although a tick
// that was left out lets one answer through.
test("many heartbeats of a peer within a moment get at most two answers", (t) => {
  const sender = createSender();
  const { peer, sent } = createPeer(wire.LinkSide.Accepted);
  sender.answer(peer);
  sender.tick([peer], EVERY_TICK);
  for (let count = 0; count < 50; count++) sender.answer(peer);
  t.is(sent.length, 2);
});

test("a change that peers must know at once goes to all of them", (t) => {
  const sender = createSender();
  const peers = [wire.LinkSide.Dialled, wire.LinkSide.Accepted].map(createPeer);
  sender.tick(
    peers.map(({ peer }) => peer),
    EVERY_TICK,
  );
  sender.sendToAll(peers.map(({ peer }) => peer));
  for (const { sent } of peers) t.is(sent.length, 2);
});

// Guards against heartbeats that take a processor of their own: with each further entry
// every entry sent and read more, whether it served anybody or not.
test("heartbeats of an entry do not grow with its peers", (t) => {
  const sentASecond = (peers: number) => {
    const { ticks } = new heartbeatInterval.HeartbeatInterval(peers);
    return (peers * 1_000) / (ticks * heartbeatInterval.TICK_MILLISECONDS);
  };
  for (const peers of [50, 75, 99, 150]) t.true(sentASecond(peers) < 170);
});

// Guards against peers that are taken for unreachable although they keep the interval.
test("in each longer interval one heartbeat comes in good time", (t) => {
  for (const peers of [60, 120, 330]) {
    const interval = new heartbeatInterval.HeartbeatInterval(peers);
    const sender = createSender();
    const { peer, sent } = createPeer(wire.LinkSide.Dialled);
    const ticks = 12 * interval.ticks;
    for (let tick = 0; tick < ticks; tick++) {
      sender.tick([peer], interval);
      peer.heartbeatSentAt -= heartbeatInterval.TICK_MILLISECONDS;
    }
    t.is(sent.length, 12);
    const between = interval.ticks * heartbeatInterval.TICK_MILLISECONDS;
    const answered = between + heartbeatInterval.TICK_MILLISECONDS / 2;
    t.true(interval.maxAgeMilliseconds - answered >= 500);
  }
});
