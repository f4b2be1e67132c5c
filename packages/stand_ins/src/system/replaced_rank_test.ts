import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import type * as cluster from "../testing/cluster.ts";
import * as keepBusy from "../testing/keep_busy.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const RANK = 1;
const STEPS = 50;

const EAGER = {
  ranks: 2,
  configuration: testConfiguration.eagerPlacement({
    slotsPerRank: 20,
    megabytesPerExpert: 1,
    tokenMilliseconds: 0.4,
  }),
};

/** Waits until every engine is armed for a new map and none was told go. */
async function untilArmed(system: cluster.Cluster): Promise<void> {
  const { ranks } = system.engine.group;
  await system.until(() =>
    ranks.every(({ armed }) => armed !== undefined && !armed.go),
  );
}

/** Whether a host is known to any entry. */
function isKnown(system: cluster.Cluster, host: string): boolean {
  return system.entries.some(({ running }) => {
    const { runners } = running.state() as { runners: { host: string }[] };
    return runners.some((runner) => runner.host === host);
  });
}

// All streams of the group stand still. A switch is armed on all ranks when one
// rank's host leaves the list, and a replacement comes under its name. The
// coordinator has the word "go" to give, but only the old host's link to give it
// over, so the rank holds and every other rank waits for it.
test(
  "a rank replaced in the middle of a switch is told go",
  withCluster.withCluster(EAGER, async (t, system) => {
    const { group } = system.engine;
    const host = `rank-${RANK}`;
    const leaving = system.upstreams.find(({ name }) => name === host);
    const busy = keepBusy.keepBusy(system);
    group.faults.dropOrders = wire.OrderKind.Go;
    await untilArmed(system);
    if (leaving) await system.kill(leaving);
    await system.until(() => !isKnown(system, host));
    group.faults.dropOrders = "";
    await system.addRank(RANK);
    const { step } = group;
    await system.until(() => group.step > step + STEPS);
    await busy.stop();
    const versions = group.ranks.map((rank) => rank.map.version);
    t.is(new Set(versions).size, 1);
  }),
);
