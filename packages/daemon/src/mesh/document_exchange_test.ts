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
    kind:
      | wire.MessageKind.MeshConfiguration
      | wire.MessageKind.MeshRunners
      | wire.MessageKind.MeshEvacuations;
  }
>;

function configurationOf(version: number): traffic.TrafficConfiguration {
  return { version, routes: [], services: [], accounts: [] } as never;
}

/** The document exchange of one entry, and its configuration. */
function createExchange(): {
  exchange: documentExchange.DocumentExchange;
  configuration: traffic.ProvenValue<traffic.TrafficConfiguration>;
  evacuations: traffic.ProvenValue<traffic.EvacuationList>;
} {
  const configuration = new traffic.ProvenValue<traffic.TrafficConfiguration>();
  const evacuations = new traffic.ProvenValue<traffic.EvacuationList>();
  const exchange = new documentExchange.DocumentExchange({
    configuration,
    runners: new traffic.ProvenValue<traffic.RunnerList>(),
    evacuations,
    heartbeatClock: new heartbeatClockModule.HeartbeatClock(),
    logger: { event: () => {} },
  });
  return { exchange, configuration, evacuations };
}

/**
 * A peer whose heartbeat reported a configuration of `version`, and the
 * documents that are sent to it.
 */
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
    evacuations: { version: 0, age: 0 },
  } as wire.MeshHeartbeat);
  return { peer, sent };
}

test("a version read from the store is pushed to a peer at once", (t) => {
  const { exchange, configuration } = createExchange();
  const { peer, sent } = createPeer(3);
  configuration.offer(configurationOf(4));
  exchange.pushNewer(peer);
  t.is(sent.length, 1);
  t.is(sent[0].version, 4);
});

// Without the delay, every entry that received a large configuration forwarded
// it to all others, which had it or were about to get it. With 45 entries this
// filled the links, and callers' streams waited behind it.
test("a version received from a peer is forwarded only after a delay", async (t) => {
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
  // The first sender does not reach the third entry, which still lacks it.
  const notice = new common.ChangeNotice();
  const wasSent = await notice.until({
    condition: () => {
      receiver.exchange.pushNewer(third.peer);
      setTimeout(() => notice.announce(), 20);
      return third.sent.length > 0;
    },
    timeoutMilliseconds: 5_000,
  });
  t.true(wasSent);
});

test("a version read from the store during the delay is pushed at once", (t) => {
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

test("an older version from a peer does not replace a newer one", (t) => {
  const source = createExchange();
  const receiver = createExchange();
  const first = createPeer(3);
  source.configuration.offer(configurationOf(4));
  source.exchange.pushNewer(first.peer);
  receiver.configuration.offer(configurationOf(6));
  receiver.exchange.receive(first.sent[0], createPeer(4).peer);
  t.is(receiver.configuration.version, 6);
});
