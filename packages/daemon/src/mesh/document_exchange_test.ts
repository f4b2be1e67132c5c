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
  runners: traffic.ProvenValue<traffic.RunnerList>;
  evacuations: traffic.ProvenValue<traffic.EvacuationList>;
  heartbeatClock: heartbeatClockModule.HeartbeatClock;
} {
  const configuration = new traffic.ProvenValue<traffic.TrafficConfiguration>();
  const runners = new traffic.ProvenValue<traffic.RunnerList>();
  const heartbeatClock = new heartbeatClockModule.HeartbeatClock();
  const evacuations = new traffic.ProvenValue<traffic.EvacuationList>();
  const exchange = new documentExchange.DocumentExchange({
    configuration,
    runners,
    evacuations,
    heartbeatClock,
    logger: { event: () => {} },
  });
  return { exchange, configuration, runners, evacuations, heartbeatClock };
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

function runnerOf(): traffic.RunnerEntry {
  return {
    identifier: "i-1",
    bornAt: 1,
    service: "s",
    version: "v1",
    address: "10.0.0.1",
    port: 80,
    dataCentre: "a",
    slots: 8,
    leaving: false,
    warmingUp: false,
  };
}

/** Sends what the one has of the runners to the other, if it is newer. */
function pushRunners(
  from: ReturnType<typeof createExchange>,
  to: ReturnType<typeof createExchange>,
): void {
  const { peer, sent } = createPeer(Infinity);
  peer.receive({
    configuration: { version: Infinity, age: 0 },
    runners: { version: to.runners.version, age: 0 },
    evacuations: { version: Infinity, age: 0 },
  } as wire.MeshHeartbeat);
  from.exchange.pushNewer(peer);
  for (const message of sent) to.exchange.receive(message, peer);
}

// The list without runners of an entry that started just after an outage, before the
// runners had registered again, went to all entries and stayed.
test("an entry that starts takes the list of others and does not replace it", (t) => {
  const starting = createExchange();
  const other = createExchange();
  const empty = {
    version: traffic.provisionalVersion(2 ** 50),
    runners: [],
  };
  const full = { version: 2 ** 40, runners: [runnerOf()] };
  starting.runners.offer(empty);
  other.runners.offer(full);
  pushRunners(starting, other);
  pushRunners(other, starting);
  t.deepEqual(other.runners.value, full);
  t.deepEqual(starting.runners.value, full);
});

// After all hosts lost power no other entry has a list; the first one that reads the
// store would be the only one that serves for two seconds.
test("a provisional list reaches entries without any", (t) => {
  const starting = createExchange();
  const other = createExchange();
  const version = traffic.provisionalVersion(2 ** 50);
  starting.runners.offer({ version, runners: [] });
  pushRunners(starting, other);
  t.is(other.runners.version, version);
});

// An entry that cannot reach the store would take this for an outage of the store, and
// keep runners that left.
test("a peer's proof tells that the store was read", (t) => {
  const { exchange, runners, heartbeatClock } = createExchange();
  const echoedStamp = heartbeatClock.nextStamp();
  t.is(runners.reads.span, undefined);
  exchange.receiveProofs({
    echoedStamp,
    echoedAge: 0,
    configuration: { version: 0, age: -1 },
    runners: { version: 5, age: 0 },
    evacuations: { version: 0, age: -1 },
  } as wire.MeshHeartbeat);
  t.not(runners.reads.span, undefined);
});
