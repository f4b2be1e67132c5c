import * as common from "@geraniumkeel/common";
import * as chooseRank from "@geraniumkeel/daemon/routing/choose_rank";
import * as iterationTimeModel from "@geraniumkeel/daemon/routing/iteration_time_model";
import * as plots from "./plots.ts";
import * as routingModel from "./routing_model.ts";
import * as statistics from "./statistics.ts";

const SEEDS = 10;
const DECISION_RANKS = 64;
const DECISIONS = 20_000;

/** Skew by policy and workload, and the time of one decision. */
export async function measureRouting(): Promise<object> {
  const points: plots.PlotPoint[] = [];
  const workloads: Record<string, unknown> = {};
  for (const workload of Object.values(routingModel.RoutingWorkload)) {
    const policies: Record<string, unknown> = {};
    for (const policy of Object.values(routingModel.RoutingPolicy)) {
      const runs = Array.from({ length: SEEDS }, (_, seed) =>
        routingModel.runRouting(policy, workload, seed + 1),
      );
      const skew = statistics.spread(runs.map((run) => run.skew));
      points.push(plots.pointOf(workload, policy, skew));
      policies[policy] = {
        skew,
        skew99: statistics.spread(runs.map((run) => run.skew99)),
        surgeSkew: statistics.spread(runs.map((run) => run.surgeSkew)),
        stepMilliseconds: statistics.spread(
          runs.map((run) => run.stepMilliseconds),
        ),
        firstToken95: statistics.spread(
          runs.map((run) => run.firstTokenMilliseconds95),
        ),
      };
    }
    workloads[workload] = policies;
  }
  const title = "step-time skew (slowest over mean), 10 seeds";
  await plots.plotRanges({ file: "routing.svg", title, points });
  return { seeds: SEEDS, workloads, decisionMicroseconds: timeDecision() };
}

/** Mean time of one choice among 64 ranks, in microseconds. */
function timeDecision(): number {
  const random = new common.Random(1);
  const cost = new iterationTimeModel.IterationTimeModel();
  const candidates = Array.from({ length: DECISION_RANKS }, (_, rank) => ({
    rank,
    work: {
      sequences: random.below(40),
      cachedTokens: random.below(20_000),
      prefillTokens: random.below(1_000),
    },
    eligible: true,
    prefixTokens: 0,
    distanceMilliseconds: 0,
  }));
  const size = { promptTokens: 200, expectedTokens: 100 };
  const choose = () =>
    chooseRank.chooseRank({ candidates, timeModel: cost, size, random });
  for (let warm = 0; warm < DECISIONS; warm++) choose();
  const started = performance.now();
  for (let count = 0; count < DECISIONS; count++) choose();
  const milliseconds = performance.now() - started;
  return statistics.round((milliseconds * 1_000) / DECISIONS);
}
