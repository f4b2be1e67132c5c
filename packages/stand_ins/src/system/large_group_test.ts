import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as rankGroupStandIn from "../rank_group_stand_in.ts";
import * as rankProcesses from "../testing/rank_processes.ts";
import * as sharedUplink from "../testing/shared_uplink.ts";

const test = ava.default;

const RANKS = 96;
const LAYERS = 16;
const EXPERTS = 192;
const LINK_BYTES_PER_SECOND = 525_000;
/** A request without a body to an engine. */
const QUESTION_BYTES = 300;
/** For how long an engine on another host is waited for. */
const ENGINE_TIMEOUT_MILLISECONDS = 100;
const ENGINE_ORDER_TIMEOUT_MILLISECONDS = 30;
const PASS_MILLISECONDS = 40;
const PATIENCE_MILLISECONDS = 30_000;

const SHAPE: traffic.EngineShape = {
  ...rankProcesses.SHAPE,
  layers: LAYERS,
  expertsPerLayer: EXPERTS,
  spareSlots: 2,
  copyMilliseconds: 6.3,
};

/** Two experts for each rank of each layer, in turn. */
function firstMap(): wire.RankMap {
  return Array.from({ length: LAYERS }, () =>
    Array.from({ length: RANKS }, (_, rank) => [rank, rank + RANKS]),
  );
}

/** Activations that grow with time; every sixteenth expert has most of them. */
function activationsSince(startedAt: number): number[] {
  const milliseconds = common.now() - startedAt;
  return Array.from({ length: LAYERS * EXPERTS }, (_, index) =>
    Math.round(milliseconds * (index % 16 === 0 ? 0.5 : 0.05)),
  );
}

/** An engine that is reached over the uplink, from the host that leads. */
function overUplink(
  engine: daemon.RankEngine,
  uplink: sharedUplink.SharedUplink,
): daemon.RankEngine {
  const isAskedInTime = () =>
    uplink.sendWithin(QUESTION_BYTES, ENGINE_TIMEOUT_MILLISECONDS);
  const late = neverthrow.err("no answer in time");
  return {
    report: async () => ((await isAskedInTime()) ? engine.report() : late),
    chosen: async () => ((await isAskedInTime()) ? engine.chosen() : late),
    lists: async () => ((await isAskedInTime()) ? engine.lists() : late),
    order: async (order, conditions) => {
      const bytes = QUESTION_BYTES + JSON.stringify(order).length;
      const isInTime = await uplink.sendWithin(
        bytes,
        ENGINE_ORDER_TIMEOUT_MILLISECONDS,
      );
      return isInTime
        ? engine.order(order, conditions)
        : daemon.EngineAnswer.Unknown;
    },
  };
}

/** A group that runs requests, whose processes reach each other by one slow uplink. */
async function startGroup(t: ava.ExecutionContext) {
  const startedAt = common.now();
  const group = new rankGroupStandIn.RankGroupStandIn(RANKS, {
    firstMap: firstMap(),
    copyMilliseconds: SHAPE.copyMilliseconds,
    loadOf: () => ({ active: 4, waiting: 0 }),
    chosenBy: () => activationsSince(startedAt),
  });
  const passes = setInterval(() => group.pass(), PASS_MILLISECONDS);
  const uplink = new sharedUplink.SharedUplink(LINK_BYTES_PER_SECOND);
  const lifeCycle = new common.LifeCycle("test");
  const logger = new common.RecordingLogger();
  t.teardown(async () => {
    clearInterval(passes);
    await lifeCycle.close();
    uplink.close();
  });
  const linkPort = await rankProcesses.freeLinkPort();
  const listenPort = linkPort + 1;
  for (let rank = 0; rank < RANKS; rank++) {
    await rankProcesses.startRankProcess({
      group,
      rank,
      linkPort,
      listenPort,
      lifeCycle,
      store: rankProcesses.StoreState.Answers,
      logger,
      shape: SHAPE,
      linkBytesPerSecond: LINK_BYTES_PER_SECOND,
      engineOf: (other) => overUplink(group.engine(other), uplink),
    });
    await uplink.open({
      address: rankProcesses.addressOf(rank),
      port: linkPort,
      targetPort: listenPort,
    });
  }
  return { group, logger };
}

// Guards against a group that keeps its first map, so that all its streams are late:
// the orders that carry the map fill the uplink of the leader's host, and neither
// replies nor heartbeats come through in time.
test("a large group behind a slow uplink leaves its first map", async (t) => {
  const { group, logger } = await startGroup(t);
  const notice = new common.ChangeNotice();
  const look = setInterval(() => notice.announce(), PASS_MILLISECONDS);
  t.teardown(() => clearInterval(look));
  const hasSwitched = await notice.until({
    condition: () => group.versions.every((version) => version > 0),
    timeoutMilliseconds: PATIENCE_MILLISECONDS,
  });
  const cancelled = logger.events
    .filter(({ code }) => code === common.EventCode.MapSwitchCancelled)
    .map(({ fields }) => JSON.stringify(fields));
  t.true(hasSwitched, cancelled.join("\n"));
  t.deepEqual(group.mixedPasses, []);
});
