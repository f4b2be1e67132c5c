import * as countPlan from "@geraniumkeel/daemon/rank_group/count_plan";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as wire from "@geraniumkeel/wire";

/** Beats of an entry to each other one, a second (`mesh/entry_mesh.ts`). */
const BEATS_PER_SECOND = 1_000 / 300;
/** States of a rank told to its leader while nothing changes (`heartbeat_record.ts`). */
const STATES_PER_SECOND = 4;
/** Bytes that a message takes on the wire beside its own: frame, TCP and IP. */
const FRAME_BYTES = 46;
/** Control that a node may send, in bytes a second. */
const BUDGET_BYTES_PER_SECOND = 21_000;
/** Sizes of a group: ranks, layers, experts a layer. */
const GROUPS = [
  { ranks: 8, layers: 6, experts: 64 },
  { ranks: 12, layers: 4, experts: 72 },
  { ranks: 32, layers: 12, experts: 128 },
  { ranks: 63, layers: 8, experts: 252 },
  { ranks: 64, layers: 60, experts: 256 },
];
/** Routes of a large configuration. */
const ROUTES = 580;
const ENTRIES = [7, 46, 100, 330];
/** A slow upstream host's link of 5.6 million bits a second. */
const LINK_BYTES_PER_SECOND = 700_000;
const RUNNERS_IN_USE = [0, 8, 16, 64];

/** What links of a gateway and of a rank's process carry, by size. */
export function measureGateway(): object {
  const beats = RUNNERS_IN_USE.map((runners) => ({
    runners,
    bytes: beatBytes(runners),
  }));
  const entries = ENTRIES.map((count) => {
    const sent = (count - 1) * BEATS_PER_SECOND * beatBytes(16);
    return { entries: count, bytesPerSecond: Math.round(sent) };
  });
  const groups = GROUPS.map((group) => {
    const numbersPerReading = group.layers * group.experts;
    const linked = Array.from({ length: group.ranks }, (_, rank) => rank);
    const plan = countPlan.planCounts({
      linkedRanks: linked,
      countsPerReading: numbersPerReading,
      linkBytesPerSecond: LINK_BYTES_PER_SECOND,
    });
    const bytes = rankBeatBytes(numbersPerReading);
    const perTeller = (bytes * 1_000) / plan.periodMilliseconds;
    const perOther = rankBeatBytes(0) * STATES_PER_SECOND;
    const tellers = plan.reporters.size;
    const others = group.ranks - tellers;
    const atLeader = Math.round(tellers * perTeller + others * perOther);
    return { ...group, bytes, tellers, perTeller, perOther, atLeader };
  });
  const perLink = BEATS_PER_SECOND * beatBytes(16);
  const mostEntries = 1 + Math.floor(BUDGET_BYTES_PER_SECOND / perLink);
  const configuration = configurationBytes(ROUTES);
  return { beats, entries, groups, mostEntries, configuration };
}

/** A configuration with names as operators draw them, plain and as it is sent. */
function configurationBytes(routes: number): object {
  const random = new common.Random(1);
  const word = () => random.below(2 ** 30).toString(36);
  const document = {
    version: 40_000,
    routes: Array.from({ length: routes }, () => ({
      name: word(),
      host: `${word()}.example`,
      prefix: `/${word()}/`,
      repeatability: traffic.Repeatability.Idempotent,
      answerForm: traffic.AnswerForm.Whole,
      open: false,
      shares: [{ service: "plain", weight: 1 }],
      mostAttempts: 2,
      timeoutMilliseconds: 8_000,
      objectiveMilliseconds: 400,
      gapMilliseconds: 120,
      urgency: 1,
    })),
  };
  const plain = JSON.stringify(document).length;
  const packed = wire.packDocument(document).byteLength;
  return { routes, plain, packed };
}

function beatBytes(runners: number): number {
  const outstanding = Array.from(
    { length: runners },
    (_, index): [string, number] => [`i-${index.toString(16).padStart(10)}`, 3],
  );
  const beat: wire.MeshHeartbeat = {
    kind: wire.MessageKind.MeshHeartbeat,
    stamp: 90_000,
    echoedStamp: 90_000,
    echoedAge: 123.4,
    ready: true,
    leaving: false,
    storeReachable: true,
    tableEpoch: 1,
    configuration: { version: 40_000, age: 812.5 },
    runners: { version: 40_000, age: 812.5 },
    evacuations: { version: 40_000, age: 812.5 },
    outstanding,
  };
  return wire.encode(beat).byteLength + FRAME_BYTES;
}

function rankBeatBytes(counts: number): number {
  const beat: wire.RankHeartbeat = {
    kind: wire.MessageKind.RankHeartbeat,
    token: 113_709_290_299_521,
    identity: { group: "g0-1", epoch: 3, rank: 7, size: 64 },
    status: {
      epoch: 3,
      open: true,
      active: 8,
      waiting: 3,
      step: 90_000,
      mapVersion: 400,
      preparedVersion: 400,
      armedVersion: 0,
      armedStep: 0,
      heldStep: -1,
    },
    chosen: Array.from({ length: counts }, (_, index) => (index * 37) % 300),
  };
  return wire.encode(beat).byteLength + FRAME_BYTES;
}
