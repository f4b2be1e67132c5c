import * as common from "@geraniumkeel/common";
import * as cluster from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as statistics from "./statistics.ts";

const RUN_MILLISECONDS = 6_000;

/** What happens during the switches. */
enum SwitchCondition {
  AtStep = "at a step, in good time",
  HoldAll = "hold all, in good time",
  LateOrders = "at a step, orders 100 ms late",
  LostAnswers = "at a step, an answer lost every 50 ms",
  AgentRestarts = "at a step, an agent restarts every second",
}

/** Milliseconds and steps that a group stood still for each switch. */
export async function measureSwitch(): Promise<object> {
  const result: Record<string, unknown> = {};
  for (const condition of Object.values(SwitchCondition)) {
    result[condition] = await runCondition(condition);
  }
  return { milliseconds: RUN_MILLISECONDS, conditions: result };
}

async function runCondition(condition: SwitchCondition): Promise<object> {
  const holding = condition === SwitchCondition.HoldAll;
  const system = await cluster.Cluster.start({
    ranks: 4,
    numbersSteps: !holding,
    configuration: eagerPlacement(holding),
  });
  const { group } = system.engine;
  const { faults } = group;
  if (condition === SwitchCondition.LateOrders) {
    faults.orderDelayMilliseconds = 100;
  }
  const before = { ...group.history };
  const until = common.now() + RUN_MILLISECONDS;
  const callers = Array.from({ length: 8 }, async (_, number) => {
    for (let turn = 0; common.now() < until; turn++) {
      const prompt = `${number} ${turn} [tokens=40]`;
      // An agent's restart breaks the answers that were under way.
      await system.generate({ prompt }).catch(() => undefined);
    }
  });
  const disturbing = disturb(system, condition, until);
  await Promise.all([...callers, disturbing]);
  const { history } = group;
  const switches = history.switches - before.switches;
  const held = history.heldMilliseconds - before.heldMilliseconds;
  const steps = history.steps - before.steps;
  const step = history.slowestSum / Math.max(1, history.steps);
  await system.close();
  return {
    switches,
    steps,
    mixedSteps: history.mixedSteps,
    heldMillisecondsEach: statistics.round(held / Math.max(1, switches)),
    stepsLostEach: statistics.round(
      held / Math.max(1, switches) / Math.max(step, 6),
    ),
  };
}

async function disturb(
  system: cluster.Cluster,
  condition: SwitchCondition,
  until: number,
): Promise<void> {
  const { faults } = system.engine.group;
  while (common.now() < until) {
    await common.sleep(condition === SwitchCondition.LostAnswers ? 50 : 1_000);
    if (condition === SwitchCondition.LostAnswers) faults.loseOrderAnswers = 1;
    if (condition !== SwitchCondition.AgentRestarts) continue;
    const [restarted] = system.upstreams.filter(({ name }) =>
      name.startsWith("rank"),
    );
    await system.kill(restarted, true);
    await system.addRank(Number(restarted.name.split("-")[1]));
  }
}

/** Plans often, so that there is much to measure. */
function eagerPlacement(holding: boolean): testConfiguration.DocumentInput {
  return testConfiguration.eagerPlacement({
    slotsPerRank: 9,
    megabytesPerExpert: 1,
    tokenMilliseconds: 0.4,
    switching: holding ? "hold-all" : "at-step",
  });
}
