import * as common from "@geraniumkeel/common";
import * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as memberTable from "@geraniumkeel/daemon/membership/member_table";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as statistics from "./statistics.ts";
import * as usedHeap from "./used_heap.ts";

const ACCOUNT_COUNTS = [1_000, 4_000, 12_000];
const MEMBER_COUNTS = [20, 100, 330];
const RANKS = 64;
const LAYERS = 60;
const EXPERTS = 256;
const SLOTS = 5;
/** One expert in so many has another place in a new map. */
const CHANGED_EVERY = 50;

/** Sizes of state, from slopes over several sizes. */
export interface StateSlopes {
  bytesPerAccount: number;
  bytesPerAccountError: number;
  adoptMillisecondsAt12000: number;
  bytesPerMember: number;
  fullExchangeBytesPerMember: number;
  inspectBytesPerRank: number;
  stageBytesPerRank: number;
  /** The same told by its changes, two in a hundred replicas. */
  stageChangesBytesPerRank: number;
  loadMessageBytes: number;
  heartbeatBytes: number;
  sectionBytesAt12000: number;
}

/** Memory and message sizes that grow with the target. */
export function measureState(): StateSlopes {
  const accounts = ACCOUNT_COUNTS.map(measureAccounts);
  const fit = statistics.fitLine(
    accounts.map(({ count, bytes }) => ({ x: count, y: bytes })),
  );
  const members = statistics.fitLine(
    MEMBER_COUNTS.map((count) => ({ x: count, y: measureMembers(count) })),
  );
  return {
    bytesPerAccount: statistics.round(fit.slope),
    bytesPerAccountError: statistics.round(fit.error),
    adoptMillisecondsAt12000: accounts[accounts.length - 1].milliseconds,
    bytesPerMember: statistics.round(members.slope),
    fullExchangeBytesPerMember: statistics.round(memberBytes()),
    inspectBytesPerRank: size({
      kind: wire.MessageKind.OrderAnswer,
      question: 1,
      answer: { done: true, state: rankState() },
    }),
    stageBytesPerRank: size({
      kind: wire.MessageKind.Order,
      question: 1,
      agentIncarnation: common.randomIdentifier(),
      order: {
        kind: wire.OrderKind.Stage,
        group: "group",
        fencing: 1,
        map: { version: 1, places: places() },
      },
    }),
    stageChangesBytesPerRank: size({
      kind: wire.MessageKind.Order,
      question: 1,
      agentIncarnation: common.randomIdentifier(),
      order: {
        kind: wire.OrderKind.StageChanges,
        group: "group",
        fencing: 1,
        changes: someChanges(),
      },
    }),
    loadMessageBytes: size({
      kind: wire.MessageKind.Load,
      load: {
        ...wire.idleLoad(),
        started: 100_000,
        finished: 99_990,
        cachedTokens: 12_345,
        rankMilliseconds: 12.345,
        stepMilliseconds: 13.579,
        step: 1_000_000,
      },
      clock: 1_234_567.8,
      dispatches: 70_000,
    }),
    heartbeatBytes: size({
      kind: wire.MessageKind.Heartbeat,
      clock: 1_234_567.8,
      revision: 2_000,
    }),
    sectionBytesAt12000: accounts[accounts.length - 1].sectionBytes,
  };
}

function measureAccounts(count: number): {
  count: number;
  bytes: number;
  milliseconds: number;
  sectionBytes: number;
} {
  const document = configuration.DOCUMENT.parse(
    testConfiguration.testConfiguration({
      accounts: Array.from({ length: count }, (_, index) => ({
        name: `account-${index}`,
        keyHash: common.hashKey(`key-${index}`),
        requestsPerSecond: 5,
        tokensPerSecond: 1_000,
      })),
    }),
  );
  const texts = configuration.splitDocument(document);
  const sections = Object.fromEntries(
    Object.keys(texts).map((name) => [name, 1]),
  );
  const head = { revision: 1, nonce: "", presetInForce: "ordinary", sections };
  const before = usedHeap.usedHeap();
  const started = performance.now();
  const view = configuration.ConfigurationView.read(
    head,
    texts,
  )._unsafeUnwrap();
  const milliseconds = statistics.round(performance.now() - started);
  const bytes = usedHeap.usedHeap() - before + textBytes(texts);
  if (!view.account("account-0")) throw new Error("account is missing");
  const sectionBytes = texts[configuration.accountSection("account-0")].length;
  return { count, bytes, milliseconds, sectionBytes };
}

function textBytes(texts: Record<string, string>): number {
  return Object.values(texts).reduce((sum, text) => sum + text.length, 0);
}

function measureMembers(count: number): number {
  const before = usedHeap.usedHeap();
  const table = new memberTable.MemberTable(member(0));
  for (let index = 1; index < count; index++) table.merge(member(index));
  const bytes = usedHeap.usedHeap() - before;
  if (table.all.length !== count) throw new Error("member is missing");
  return bytes;
}

function member(index: number): wire.Member {
  return {
    host: `entry-host-${index}`,
    incarnation: common.randomIdentifier(),
    place: `place-${index % 9}`,
    callerUrl: `https://10.0.0.${index % 250}:8443`,
    peerUrl: `https://10.0.0.${index % 250}:8444`,
    state: wire.MemberState.Alive,
    counter: 1_800_000_000_000 + index,
    revision: 2_000,
    weight: 1,
  };
}

function memberBytes(): number {
  const members = Array.from({ length: 100 }, (_, index) => member(index));
  const kind = wire.MessageKind.Members;
  return size({ kind, members }) / members.length;
}

function rankState(): wire.RankState {
  const random = new common.Random(1);
  return {
    step: 1_000_000,
    mapVersion: 5_000_001,
    stagedVersion: 0,
    armedVersion: 0,
    armedStep: 0,
    goVersion: 0,
    held: false,
    expertTokens: Array.from({ length: LAYERS }, () =>
      Array.from({ length: SLOTS }, (_, slot): wire.ExpertCount => [
        slot * 50,
        random.below(100_000),
      ]),
    ),
  };
}

function places(): wire.ExpertPlaces {
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, (_, expert) =>
      expert % 4 === 0
        ? [expert % RANKS, (expert + 7) % RANKS]
        : [expert % RANKS],
    ),
  );
}

/** Changes of about two in a hundred replicas, all within one map. */
function someChanges(): wire.MapChanges {
  const base = { version: 1, places: places() };
  const changed = places().map((layer) =>
    layer.map((ranks, expert) =>
      expert % CHANGED_EVERY === 0 ? [(ranks[0] + 1) % RANKS] : ranks,
    ),
  );
  return wire.changesBetween(base, { version: 2, places: changed });
}

function size(message: wire.Message): number {
  return wire.encode(message).byteLength;
}
