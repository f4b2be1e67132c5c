import * as common from "@geraniumkeel/common";
import * as undici from "undici";
import * as checkAll from "../checkers/check_all.ts";
import * as historyModule from "../checkers/history.ts";
import * as clusterModule from "../testing/cluster.ts";
import * as testConfiguration from "../testing/test_configuration.ts";
import * as fault from "./fault.ts";
import * as inject from "./inject.ts";
import * as workload from "./workload.ts";

/** What a run came to. */
export interface CaseResult {
  violations: historyModule.Violation[];
  requests: number;
  outcomes: Record<string, number>;
  switches: number;
}

const CALLERS = 12;
const SETTLE_MILLISECONDS = 10_000;
const RUNNER_CONCURRENCY = 2;

/** Runs one case and checks its history. */
export async function runCase(
  one: fault.ExploreCase,
  change: Partial<clusterModule.ClusterOptions> = {},
): Promise<CaseResult> {
  const system = await clusterModule.Cluster.start({
    entries: 3,
    ranks: 4,
    plainRunners: 2,
    proxied: true,
    seed: one.seed,
    configuration: exploreConfiguration(change.numbersSteps ?? true),
    ...change,
  });
  const dispatcher = new undici.Agent({ connections: 64 });
  try {
    const history = record(system);
    const random = new common.Random(one.seed);
    const target = { system, history, random };
    const planned = one.faults.every(({ kind }) => fault.PLANNED.has(kind));
    const until = common.now() + one.milliseconds;
    const callers = Array.from({ length: CALLERS }, (_, number) =>
      workload.runCaller({
        system,
        history,
        dispatcher,
        number,
        random: new common.Random(one.seed * 100 + number),
        until,
        planned,
      }),
    );
    const faults = one.faults.map(async (timed) => {
      await common.sleep(timed.atMilliseconds);
      await inject.inject(target, timed);
    });
    await Promise.all([...callers, ...faults]);
    await settle(target);
    return summarize(target);
  } finally {
    await dispatcher.destroy();
    await system.close();
  }
}

/**
 * Experts move all the time, so that switches meet every fault; runners are soon
 * full, so that turned-away and waiting dispatches do.
 */
export function exploreConfiguration(
  numbersSteps: boolean,
): testConfiguration.DocumentInput {
  const document = testConfiguration.eagerPlacement({
    slotsPerRank: 12,
    megabytesPerExpert: 1,
    tokenMilliseconds: 0.4,
    switching: numbersSteps ? "at-step" : "hold-all",
  });
  return testConfiguration.smallRunners(document, RUNNER_CONCURRENCY);
}

function record(system: clusterModule.Cluster): historyModule.History {
  const history = historyModule.emptyHistory();
  const { engine, plain } = system;
  const started = (work: string) => {
    history.starts.set(work, (history.starts.get(work) ?? 0) + 1);
  };
  engine.group.ranks.forEach((rank, index) => {
    const { version } = rank.map;
    history.mapUses.push({ rank: index, step: 0, version });
  });
  engine.group.onStart = (rank, call) => {
    started(workload.workOf(call.prompt));
    history.workStarts.push({ host: `rank-${rank}`, at: common.now() });
    const ending = endingOf(history, call.prompt);
    ending?.starts.push(common.now());
  };
  engine.group.onArrival = ({ rank, ...said }) =>
    history.arrivals.push({ host: `rank-${rank}`, at: common.now(), ...said });
  engine.group.onMapUse = (rank, step, version) =>
    history.mapUses.push({ rank, step, version });
  plain.onCall = started;
  return history;
}

/** The record of the ending request that a prompt is, if it is one. */
function endingOf(
  history: historyModule.History,
  prompt: string,
): historyModule.EndingRecord | undefined {
  return history.endings.find(({ work }) => prompt.includes(work));
}

/** Waits until the newest accepted configuration is in force everywhere. */
async function settle(target: inject.Target): Promise<void> {
  const { system, history } = target;
  const newest = Math.max(0, ...history.accepted.map((one) => one.revision));
  const revisions = () =>
    system.entries.map(({ name, running }) => {
      const state = running.state() as { configuration: { revision: number } };
      return { process: name, revision: state.configuration.revision };
    });
  const deadline = common.now() + SETTLE_MILLISECONDS;
  while (common.now() < deadline) {
    if (revisions().every(({ revision }) => revision >= newest)) break;
    await common.sleep(50);
  }
  history.final.push(...revisions());
  for (const { at, prompts } of system.engine.group.ranks.flatMap(
    ({ ends }) => ends,
  )) {
    for (const prompt of prompts) endingOf(history, prompt)?.ends.push(at);
  }
  history.stepsTaken = system.engine.group.history.steps;
  history.mixedSteps = system.engine.group.history.mixedSteps;
  for (const entry of system.history) {
    if (entry.kind !== "in-force") continue;
    history.inForce.push({
      process: entry.process as string,
      revision: entry.revision as number,
      at: entry.at as number,
    });
  }
}

function summarize(target: inject.Target): CaseResult {
  const { system, history } = target;
  const outcomes: Record<string, number> = {};
  for (const { outcome } of history.calls) {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  }
  return {
    violations: checkAll.checkAll(history),
    requests: history.calls.length,
    outcomes,
    switches: system.engine.group.history.switches,
  };
}
