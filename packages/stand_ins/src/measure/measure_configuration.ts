import * as common from "@geraniumkeel/common";
import * as cluster from "../testing/cluster.ts";
import * as statistics from "./statistics.ts";

const ENTRIES = 7;
const ROUNDS = 10;
const LOOK_MILLISECONDS = 1;

/** What happens to the store around a change. */
enum StoreCondition {
  Well = "store well",
  Slow = "store slow (150 ms an answer)",
  LostAnswer = "answer of the commit lost",
  DownAfter = "store down right after the commit",
}

/** Time until a preset is in force on all seven entries. */
export async function measureConfiguration(): Promise<object> {
  const result: Record<string, unknown> = {};
  for (const condition of Object.values(StoreCondition)) {
    const system = await cluster.Cluster.start({
      entries: ENTRIES,
      timing: { configurationPoll: 1_000, heartbeat: 250, silentAfter: 1_000 },
    });
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      times.push(await timeChange(system, condition, round));
    }
    await system.close();
    result[condition] = {
      milliseconds: statistics.spread(times),
      p95: statistics.round(statistics.quantile(times, 0.95)),
    };
  }
  return { entries: ENTRIES, rounds: ROUNDS, inForceEverywhere: result };
}

async function timeChange(
  system: cluster.Cluster,
  condition: StoreCondition,
  round: number,
): Promise<number> {
  const { faults } = system.platform;
  faults.slowMilliseconds = condition === StoreCondition.Slow ? 150 : 0;
  faults.loseAnswers = condition === StoreCondition.LostAnswer ? 1 : 0;
  const preset = round % 2 === 0 ? "peak" : "ordinary";
  const before = highest(system);
  const started = common.now();
  const answering = system.usePreset(preset, round % ENTRIES);
  if (condition === StoreCondition.DownAfter) {
    await until(() => highest(system) > before);
    faults.down = true;
  }
  await until(() => lowest(system) > before);
  const milliseconds = common.now() - started;
  faults.down = false;
  await answering;
  return milliseconds;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await common.sleep(LOOK_MILLISECONDS);
}

function revisions(system: cluster.Cluster): number[] {
  return system.entries.map(({ running }) => {
    const state = running.state() as { configuration: { revision: number } };
    return state.configuration.revision;
  });
}

function highest(system: cluster.Cluster): number {
  return Math.max(...revisions(system));
}

function lowest(system: cluster.Cluster): number {
  return Math.min(...revisions(system));
}
