import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as peerLoads from "./peer_loads.ts";

const test = ava.default;

function createReport(running: number): wire.MeshLoad {
  const arrivalsPerSecond = 10;
  return {
    kind: wire.MessageKind.MeshLoad,
    services: [
      {
        service: "s",
        answerMilliseconds: 400,
        firstEventMilliseconds: -1,
        accounts: [{ account: "a", urgency: 0, arrivalsPerSecond }],
        urgencies: [{ urgency: 0, running, waiting: 1, arrivalsPerSecond }],
      },
    ],
  };
}

// Silent peers: what they reported last says nothing after a while.
test("reports are summed up and not used once they are a second old", (t) => {
  let now = 0;
  const peers = new peerLoads.PeerLoads({
    clock: () => now,
    entryCount: () => 3,
  });
  peers.receive(createReport(3), "b");
  now = 600;
  peers.receive(createReport(4), "c");
  t.is(peers.demandFor("s").demand.get(0)?.running, 7);
  t.is(peers.demandFor("s").firstEventMilliseconds, undefined);
  t.is(peers.accountsFor("s", 0).get("a"), 0.02);
  t.is(peers.oldestAge, 600);
  now = 1_100;
  t.is(peers.demandFor("s").demand.get(0)?.running, 4);
  now = 2_000;
  t.is(peers.demandFor("s").demand.size, 0);
  t.is(peers.oldestAge, -1);
});

// The loss of a data centre with a third of the entries must not reduce the
// capacity that the others use; an entry alone must not take all of it.
test("only an entry that hears less than half of the others uses a part of the capacity", (t) => {
  let now = 0;
  const peers = new peerLoads.PeerLoads({
    clock: () => now,
    entryCount: () => 4,
  });
  t.is(peers.knownShare, 1);
  now = 3_000;
  t.is(peers.knownShare, 0.25);
  peers.receive(createReport(1), "b");
  t.is(peers.knownShare, 1);
});
