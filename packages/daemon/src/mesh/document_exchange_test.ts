import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";
import * as documentExchange from "./document_exchange.ts";
import * as meshPeer from "./mesh_peer.ts";
import * as heartbeatClockModule from "./heartbeat_clock.ts";

const test = ava.default;

type Sent = Extract<
  wire.Message,
  {
    kind: wire.MessageKind.MeshConfiguration | wire.MessageKind.MeshRunners;
  }
>;

function configurationOf(version: number): traffic.TrafficConfiguration {
  return { version, routes: [], services: [], accounts: [] } as never;
}

/** An entry's exchange, without other entries. */
function createExchange(): {
  exchange: documentExchange.DocumentExchange;
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
} {
  const configuration = new traffic.ProvenValue<traffic.TrafficConfiguration>();
  const exchange = new documentExchange.DocumentExchange({
    configuration,
    runners: new traffic.ProvenValue<traffic.RunnerList>(),
    heartbeatClock: new heartbeatClockModule.HeartbeatClock(),
    logger: { event: () => {} },
  });
  return { exchange, configuration };
}

/** A peer that has told the versions it holds, and what is sent to it. */
function createPeer(version: number): {
  peer: meshPeer.MeshPeer;
  sent: Sent[];
} {
  const sent: Sent[] = [];
  const link = {
    end: undefined,
    send: (message: Sent) => sent.push(message),
    close: () => {},
  } as unknown as wire.Link;
  const member = { host: "other" } as wire.MeshMember;
  const peer = new meshPeer.MeshPeer(member, "1", link);
  const proof = { version, age: 0 };
  peer.receive({
    configuration: proof,
    runners: { version: 0, age: 0 },
  } as wire.MeshHeartbeat);
  return { peer, sent };
}

test("what came from the store goes to all at once", (t) => {
  const { exchange, configuration } = createExchange();
  const { peer, sent } = createPeer(3);
  configuration.offer(configurationOf(4));
  exchange.pushNewer(peer);
  t.is(sent.length, 1);
  t.is(sent[0].version, 4);
});

// Each version of a large configuration filled the links of 45 entries: whoever
// received it sent it to all others, who had it already or were about to. Callers'
// streams waited behind it.
test("what came from a peer is first left to that peer to send", async (t) => {
  const source = createExchange();
  const receiver = createExchange();
  const { peer, sent } = createPeer(3);
  source.configuration.offer(configurationOf(4));
  source.exchange.pushNewer(peer);
  const { peer: from } = createPeer(4);
  receiver.exchange.receive(sent[0], from);
  t.is(receiver.configuration.version, 4);
  const third = createPeer(3);
  receiver.exchange.pushNewer(third.peer);
  t.is(third.sent.length, 0);
  // The third lacks it still: the first sender does not reach it.
  const notice = new common.ChangeNotice();
  const came = await notice.until({
    condition: () => {
      receiver.exchange.pushNewer(third.peer);
      setTimeout(() => notice.announce(), 20);
      return third.sent.length > 0;
    },
    timeoutMilliseconds: 5_000,
  });
  t.true(came);
});

test("a version read from the store meanwhile is not held back", (t) => {
  const source = createExchange();
  const receiver = createExchange();
  const first = createPeer(3);
  source.configuration.offer(configurationOf(4));
  source.exchange.pushNewer(first.peer);
  receiver.exchange.receive(first.sent[0], createPeer(4).peer);
  receiver.configuration.offer(configurationOf(5));
  const third = createPeer(3);
  receiver.exchange.pushNewer(third.peer);
  t.is(third.sent[0].version, 5);
});

test("an older version changes nothing", (t) => {
  const source = createExchange();
  const receiver = createExchange();
  const first = createPeer(3);
  source.configuration.offer(configurationOf(4));
  source.exchange.pushNewer(first.peer);
  receiver.configuration.offer(configurationOf(6));
  receiver.exchange.receive(first.sent[0], createPeer(4).peer);
  t.is(receiver.configuration.version, 6);
});
