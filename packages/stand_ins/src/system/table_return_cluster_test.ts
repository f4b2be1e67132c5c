import * as ava from "ava";
import * as checkAnswers from "../checkers/check_answers.ts";
import * as historyModule from "../checkers/history.ts";
import type * as cluster from "../testing/cluster.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

interface StoredHead {
  revision: number;
  epoch: number;
  presetInForce: string;
}

/** The configuration's head as the table has it. */
function headOf(system: cluster.Cluster): StoredHead {
  const row = system.platform.table.get("configuration/head");
  return JSON.parse(row?.value ?? "{}") as StoredHead;
}

function presetAt({ running }: cluster.ClusterProcess): string {
  const { configuration } = running.state() as {
    configuration: { presetInForce: string };
  };
  return configuration.presetInForce;
}

async function untilPreset(
  system: cluster.Cluster,
  preset: string,
): Promise<void> {
  await system.until(() =>
    system.entries.every((entry) => presetAt(entry) === preset),
  );
}

// Operators were told that the preset is accepted. The copy has the one before it: a
// process that starts later would serve under that, and the change would be gone.
test(
  "a preset that was accepted stays in force, and is in the table again",
  withCluster.withCluster({}, async (t, system) => {
    const copy = system.platform.table.copy();
    await system.usePreset("peak");
    const { revision } = headOf(system);
    system.platform.table.comeBackFrom(copy);
    await system.until(() => headOf(system).epoch === 2);
    t.is(headOf(system).presetInForce, "peak");
    t.true(headOf(system).revision > revision);
    await untilPreset(system, "peak");
  }),
);

// Its number would be one that is in force already, and nobody would take it.
test(
  "a change that is made after the return comes into force everywhere",
  withCluster.withCluster({}, async (t, system) => {
    const copy = system.platform.table.copy();
    await system.usePreset("peak");
    system.platform.table.comeBackFrom(copy);
    await system.until(async () => {
      const { status } = await system.usePreset("maintenance", 1);
      return status === 200;
    });
    await untilPreset(system, "maintenance");
    t.is(headOf(system).presetInForce, "maintenance");
  }),
);

// It reads the copy's configuration first, which the others gave up long ago.
test(
  "an entry that starts right after the return does not bring the older preset",
  withCluster.withCluster({}, async (t, system) => {
    const copy = system.platform.table.copy();
    await system.usePreset("peak");
    system.platform.table.comeBackFrom(copy);
    await system.addEntry("entry-new");
    await untilPreset(system, "peak");
    t.true(
      system.history.every(
        (entry) =>
          entry.kind !== "in-force" ||
          !String(entry.process).startsWith("entry-new") ||
          entry.preset === "peak",
      ),
    );
  }),
);

/** Asks for one confirmation at two entries, with the table's return in between. */
async function confirmAcrossReturn(
  system: cluster.Cluster,
  between: () => Promise<void>,
): Promise<historyModule.History> {
  const history = historyModule.emptyHistory();
  const work = "work";
  system.plain.onCall = (call) => {
    history.starts.set(call, (history.starts.get(call) ?? 0) + 1);
  };
  history.calls.push({
    work,
    repeatable: false,
    outcome: "whole",
    detail: "",
    duringPlannedStopOnly: false,
  });
  const asking = { path: "/confirm", call: work, key: "stamp-1" };
  const copy = system.platform.table.copy();
  system.plain.faults.breakAnswers = 1;
  await system.call({ ...asking, entry: 0 }).catch(() => undefined);
  await between();
  system.platform.table.comeBackFrom(copy);
  await system.call({ ...asking, entry: 1 }).catch(() => undefined);
  return history;
}

// The caller does not get its answer and asks again under its key. The claim that named
// the run is lost with the table's last seconds.
test(
  "a claim that the return has lost does not let its request run again",
  withCluster.withCluster({}, async (t, system) => {
    const history = await confirmAcrossReturn(system, async () => {});
    t.is(history.starts.get("work"), 1);
    t.deepEqual(checkAnswers.checkAtMostOnce(history), []);
  }),
);

// The entry that made the claim is gone as well: the process beside the runner knows.
test(
  "a lost claim of an entry that is gone does not let its request run again",
  withCluster.withCluster({ entries: 3 }, async (t, system) => {
    const history = await confirmAcrossReturn(system, async () => {
      await system.kill(system.entries[0]);
    });
    t.deepEqual(checkAnswers.checkAtMostOnce(history), []);
  }),
);
