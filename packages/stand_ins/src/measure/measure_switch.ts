import * as common from "@geraniumkeel/common";
import * as historyModule from "../checkers/history.ts";
import * as fault from "../explore/fault.ts";
import * as inject from "../explore/inject.ts";
import * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as statistics from "./statistics.ts";

const RUN_MILLISECONDS = 4_000;
/** Length of a fault, and the pause before it strikes again. */
const FAULT_MILLISECONDS = 400;
const CALLERS = 8;
const SEED = 5;

/** How switches are made, and what goes wrong during them. */
interface SwitchCondition {
  name: string;
  holdsAll: boolean;
  fault: fault.FaultKind | undefined;
}

/** Each way of switching in good time, then each fault again and again. */
function conditions(): SwitchCondition[] {
  return [
    { name: "at a step, in good time", holdsAll: false, fault: undefined },
    { name: "hold all, in good time", holdsAll: true, fault: undefined },
    ...Object.values(fault.FaultKind).map((kind) => ({
      name: kind,
      holdsAll: false,
      fault: kind,
    })),
  ];
}

/** Milliseconds and steps that a group stood still for its switches. */
export async function measureSwitch(): Promise<object> {
  const result: Record<string, unknown> = {};
  for (const condition of conditions()) {
    result[condition.name] = await runCondition(condition);
  }
  return { milliseconds: RUN_MILLISECONDS, conditions: result };
}

async function runCondition(condition: SwitchCondition): Promise<object> {
  const { holdsAll } = condition;
  const system = await cluster.Cluster.start({
    entries: 3,
    ranks: 4,
    proxied: true,
    numbersSteps: !holdsAll,
    seed: SEED,
    configuration: eagerPlacement(holdsAll),
  });
  const before = { ...system.engine.group.history };
  const until = common.now() + RUN_MILLISECONDS;
  const callers = Array.from({ length: CALLERS }, (_, number) =>
    keepBusy(system, number, until),
  );
  await Promise.all([...callers, disturb(system, condition, until)]);
  const told = describe(system, before);
  await system.close();
  return told;
}

async function keepBusy(
  system: cluster.Cluster,
  number: number,
  until: number,
): Promise<void> {
  for (let turn = 0; common.now() < until; turn++) {
    const prompt = `${number} ${turn} [tokens=40]`;
    const entry = number % Math.max(1, system.entries.length);
    // Some faults break or refuse answers; here only the steps count.
    await system.generate({ prompt, entry }).catch(() => undefined);
    await common.sleep(1);
  }
}

async function disturb(
  system: cluster.Cluster,
  condition: SwitchCondition,
  until: number,
): Promise<void> {
  const { fault: kind } = condition;
  if (kind === undefined) return;
  const history = historyModule.emptyHistory();
  const random = new common.Random(SEED);
  while (common.now() < until) {
    const timed = {
      kind,
      atMilliseconds: 0,
      lengthMilliseconds: FAULT_MILLISECONDS,
    };
    await inject.inject({ system, history, random }, timed);
    await common.sleep(FAULT_MILLISECONDS);
  }
}

/** What the group lost while ranks held for a switch. */
function describe(
  system: cluster.Cluster,
  before: { switches: number; heldMilliseconds: number; steps: number },
): object {
  const { history } = system.engine.group;
  const switches = history.switches - before.switches;
  const held = history.heldMilliseconds - before.heldMilliseconds;
  const stepMilliseconds = history.slowestSum / Math.max(1, history.steps);
  const heldEach = held / Math.max(1, switches);
  return {
    switches,
    steps: history.steps - before.steps,
    mixedSteps: history.mixedSteps,
    heldMillisecondsEach: statistics.round(heldEach),
    stepsLostEach: statistics.round(heldEach / Math.max(1, stepMilliseconds)),
  };
}

/** Plans often, so that there is much to measure. */
function eagerPlacement(holdsAll: boolean): testConfiguration.DocumentInput {
  return testConfiguration.eagerPlacement({
    slotsPerRank: 9,
    megabytesPerExpert: 1,
    tokenMilliseconds: 0.4,
    switching: holdsAll ? "hold-all" : "at-step",
  });
}
