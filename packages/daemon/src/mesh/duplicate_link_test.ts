import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as duplicateLink from "./duplicate_link.ts";
import * as meshPeer from "./mesh_peer.ts";

const test = ava.default;

function createPeer(
  host: string,
  side: wire.LinkSide,
  incarnation = "i",
): meshPeer.MeshPeer {
  const member = {
    host,
    dataCentre: "z",
    address: "127.0.0.1",
    linkPort: 1,
    callerPort: 2,
  };
  const link = { side, end: undefined } as unknown as wire.Link;
  return new meshPeer.MeshPeer(member, incarnation, link);
}

const { Dialled, Accepted } = wire.LinkSide;
const { CloseLater, CloseEarlier, LeaveOpen } = duplicateLink.DuplicateChoice;

// Two entries that dial each other at the same moment may see the two links in
// different orders. If each kept the one that it saw last, each would send on a
// link whose messages the other does not look at, and both links would stay.
test("both ends keep the same one of two links, in whatever order they open", (t) => {
  // The link dialled by "a" is dialled at "a" and accepted at "b".
  const keptAt = (self: string, other: string, sides: wire.LinkSide[]) => {
    const [earlier, later] = sides.map((side) => createPeer(other, side));
    const choice = duplicateLink.chooseLink({ self, earlier, later });
    t.not(choice, LeaveOpen);
    return (choice === CloseLater ? earlier : later).link.side;
  };
  for (const order of [
    [Dialled, Accepted],
    [Accepted, Dialled],
  ]) {
    t.is(keptAt("a", "b", order), Dialled);
    t.is(keptAt("b", "a", order), Accepted);
  }
});

// The other end has restarted, or lost the earlier link without this end
// noticing. It must not have to wait until this end notices.
test("a later link is used if the earlier one is lost or of another process", (t) => {
  const later = createPeer("b", Accepted);
  const choice = (earlier: meshPeer.MeshPeer) =>
    duplicateLink.chooseLink({ self: "a", earlier, later });
  t.is(choice(createPeer("b", Dialled)), CloseLater);
  t.is(choice(createPeer("b", Dialled, "before")), CloseEarlier);
  const old = createPeer("b", Dialled);
  Object.assign(old, { openedAt: old.openedAt - 2_000 });
  t.is(choice(old), CloseEarlier);
  const closed = createPeer("b", Dialled);
  Object.assign(closed.link, { end: wire.LinkEnd.Closed });
  t.is(choice(closed), CloseEarlier);
});

// An entry may dial the same one twice, as a seed and as a known entry. The two
// ends may see the links in different orders: if each closed the one that it saw
// first, both links would be lost. If the dialling end has lost the first link
// without the other one noticing, the second link must not be refused.
test("of two links dialled by the same end, that end alone closes one", (t) => {
  for (const [self, other] of [
    ["a", "b"],
    ["b", "a"],
  ]) {
    const choice = (side: wire.LinkSide) =>
      duplicateLink.chooseLink({
        self,
        earlier: createPeer(other, side),
        later: createPeer(other, side),
      });
    t.is(choice(Dialled), CloseEarlier);
    t.is(choice(Accepted), LeaveOpen);
  }
});

// A process of an earlier version may use one of two links that this end has
// closed, and go on with the other one without sending on it: it never dials
// again while that link is open, and the two entries would never meet.
test("a link that works but brings no heartbeats is closed after 3 s", (t) => {
  const peer = createPeer("b", Accepted);
  const ends: (wire.LinkEnd | undefined)[] = [];
  peer.link.close = (end) => ends.push(end);
  for (let tick = 0; tick < 10; tick++) peer.tick();
  t.deepEqual(ends, []);
  peer.receive({
    kind: wire.MessageKind.MeshHeartbeat,
    stamp: 1,
    echoedStamp: -1,
    echoedAge: 0,
    ready: true,
    leaving: false,
    storeReachable: true,
    tableEpoch: 1,
    configuration: { version: 1, age: 0 },
    runners: { version: 1, age: 0 },
    evacuations: { version: 1, age: 0 },
    outstanding: [],
  });
  for (let tick = 0; tick < 10; tick++) peer.tick();
  t.deepEqual(ends, []);
  peer.tick();
  t.deepEqual(ends, [wire.LinkEnd.Silent]);
});
