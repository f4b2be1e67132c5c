import * as common from "@geraniumkeel/common";
import * as fullRepack from "@geraniumkeel/daemon/placement/full_repack";
import * as expertLoadForecast from "@geraniumkeel/daemon/forecast/expert_load_forecast";
import * as planPlacement from "@geraniumkeel/daemon/placement/plan_placement";
import * as plots from "./plots.ts";
import * as rangePlacement from "./range_placement.ts";
import * as expertPopularity from "./expert_popularity.ts";
import * as statistics from "./statistics.ts";

const SEEDS = 10;
const KINDS = 3;
const MEGABYTES_PER_EXPERT = 20;
const PERIOD_MILLISECONDS = 120_000;

/** Sizes of the placement measurement. */
interface Size {
  name: string;
  ranks: number;
  experts: number;
  layers: number;
  slots: number;
  /** Tokens a second of the group. */
  tokens: number;
  /** Plans in a day; in one day the mix of kinds turns once. */
  periods: number;
}

const SIZES: Size[] = [
  {
    name: "today",
    ranks: 16,
    experts: 32,
    layers: 4,
    slots: 3,
    tokens: 2_000,
    periods: 30,
  },
  {
    name: "target",
    ranks: 64,
    experts: 256,
    layers: 60,
    slots: 5,
    tokens: 20_000,
    periods: 8,
  },
];

/** How the next map is made. */
type Planner = (
  input: planPlacement.PlacementInput,
  forecast: number[][],
) => number[][][];

interface Figures {
  skew: number;
  skew99: number;
  megabytes: number;
  planMilliseconds: number;
}

/** Skew and megabytes by planner, over a drifting day. */
export async function measurePlacement(): Promise<object> {
  const points: plots.PlotPoint[] = [];
  const result: Record<string, unknown> = {};
  for (const size of SIZES) {
    const planners: Record<string, Planner> = {
      static: (input) => input.places,
      "full repack each period": (input, load) =>
        fullRepack.fullRepack({ ...input, load }),
      "ranges by bids": (input, load) =>
        rangePlacement.placeByBids({ ...input, load }),
      "incremental, rate 0.5": incremental(0.5),
      "incremental, rate 4": incremental(4),
      "incremental, rate 16": incremental(16),
    };
    const figures: Record<string, unknown> = {};
    for (const [name, planner] of Object.entries(planners)) {
      const runs = Array.from({ length: SEEDS }, (_, seed) =>
        runDay(size, planner, seed + 1),
      );
      const skew = statistics.spread(runs.map((run) => run.skew));
      points.push(plots.pointOf(size.name, name, skew));
      figures[name] = {
        skew,
        skew99: statistics.spread(runs.map((run) => run.skew99)),
        megabytes: statistics.spread(runs.map((run) => run.megabytes)),
        planMilliseconds: statistics.spread(
          runs.map((run) => run.planMilliseconds),
        ),
      };
    }
    result[size.name] = { ...size, planners: figures };
  }
  const title = "step-time skew (slowest over mean), 10 seeds";
  await plots.plotRanges({ file: "placement.svg", title, points });
  return result;
}

function incremental(exchangeRate: number): Planner {
  return (input, load) =>
    planPlacement.planPlacement({ ...input, load, exchangeRate }).places;
}

/** A drifting mix of kinds of request, planned for period by period. */
function runDay(size: Size, planner: Planner, seed: number): Figures {
  const random = new common.Random(seed);
  const kinds = Array.from({ length: KINDS }, () =>
    expertPopularity.expertPopularity(size, random),
  );
  const shape = new expertLoadForecast.ExpertLoadForecast();
  // The first map was made for the first hour's load, as any operator would.
  let places = fullRepack.fullRepack({
    ...size,
    load: loadAt(size, kinds, 0, random),
  });
  const skews: number[] = [];
  const times: number[] = [];
  let copies = 0;
  for (let period = 1; period <= size.periods; period++) {
    const load = loadAt(size, kinds, period, random);
    skews.push(planPlacement.skewOf(load, places, size.ranks));
    const wall = period * PERIOD_MILLISECONDS;
    shape.observe(load, wall);
    const forecast = shape.forecast(wall, PERIOD_MILLISECONDS) ?? load;
    const input = inputOf(size, places, forecast);
    const started = performance.now();
    const next = planner(input, forecast);
    times.push(performance.now() - started);
    copies += fullRepack.copiesBetween(places, next);
    places = next;
  }
  return {
    skew: statistics.mean(skews),
    skew99: statistics.quantile(skews, 0.99),
    megabytes: copies * MEGABYTES_PER_EXPERT,
    planMilliseconds: statistics.quantile(times, 0.95),
  };
}

function inputOf(
  size: Size,
  places: number[][][],
  load: number[][],
): planPlacement.PlacementInput {
  return {
    ranks: size.ranks,
    slots: size.slots,
    load,
    places,
    millisecondsPerToken: 0.4 / size.layers,
    megabytesPerExpert: MEGABYTES_PER_EXPERT,
    exchangeRate: 1,
    horizonSeconds: 600,
    megabytesLimit: 100_000,
  };
}

/** Tokens a second by layer and expert; the mix turns once in the day. */
function loadAt(
  size: Size,
  kinds: number[][][],
  period: number,
  random: common.Random,
): number[][] {
  const phase = (2 * Math.PI * period) / size.periods;
  const weights = kinds.map((_, kind) =>
    Math.exp(Math.cos(phase + (2 * Math.PI * kind) / KINDS)),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return Array.from({ length: size.layers }, (_, layer) =>
    Array.from({ length: size.experts }, (_, expert) => {
      const share = kinds.reduce(
        (sum, kind, index) =>
          sum + (weights[index] / total) * kind[layer][expert],
        0,
      );
      return size.tokens * share * random.between(0.95, 1.05);
    }),
  );
}
