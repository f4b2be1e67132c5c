import * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as fullRepack from "@geraniumkeel/daemon/placement/full_repack";
import * as deferPlacement from "@geraniumkeel/daemon/placement/defer_placement";
import * as expertLoadForecast from "@geraniumkeel/daemon/forecast/expert_load_forecast";
import * as placementDecision from "@geraniumkeel/daemon/placement/placement_decision";
import * as planPlacement from "@geraniumkeel/daemon/placement/plan_placement";
import * as surgeForecast from "@geraniumkeel/daemon/forecast/surge_forecast";
import * as expertPopularity from "./expert_popularity.ts";
import * as statistics from "./statistics.ts";

const SEEDS = 10;
const HOURS = 4;
const PERIOD_MILLISECONDS = 30_000;
const HOUR_MILLISECONDS = 3_600_000;
const SURGE_MILLISECONDS = 120_000;
const SURGE_FACTOR = 4;
const RANKS = 16;
const SIZE = { layers: 4, experts: 32 };
const SLOTS = 3;
const TOKENS_PER_SECOND = 2_000;
const MEGABYTES_PER_EXPERT = 20;
/** Rate of the weight store, for the time that a switch is under way. */
const MEGABYTES_PER_SECOND = 200;
const EXCHANGE_RATES = [0.5, 4];

interface Figures {
  skew: number;
  surgeSkew: number;
  megabytes: number;
  surgeMegabytes: number;
  /** Tokens due while experts were being moved. */
  tokensDelayed: number;
}

/** Switches in and out of the hourly surge, with and without holding back. */
export async function measureSurge(): Promise<object> {
  const result: Record<string, unknown> = {};
  for (const exchangeRate of EXCHANGE_RATES) {
    for (const holds of [false, true]) {
      const runs: Figures[] = [];
      for (let seed = 1; seed <= SEEDS; seed++) {
        runs.push(await runHours(exchangeRate, holds, seed));
      }
      const name = `rate ${exchangeRate}, ${holds ? "held back" : "at any time"}`;
      const spreadOf = (figure: keyof Figures) =>
        statistics.spread(runs.map((run) => run[figure]));
      result[name] = {
        skew: spreadOf("skew"),
        surgeSkew: spreadOf("surgeSkew"),
        megabytes: spreadOf("megabytes"),
        surgeMegabytes: spreadOf("surgeMegabytes"),
        tokensDelayed: spreadOf("tokensDelayed"),
      };
    }
  }
  return { seeds: SEEDS, hours: HOURS, policies: result };
}

/** Hours with a drifting mix and a surge of another mix at the top of each. */
async function runHours(
  exchangeRate: number,
  holds: boolean,
  seed: number,
): Promise<Figures> {
  const random = new common.Random(seed);
  const ordinary = expertPopularity.expertPopularity(SIZE, random);
  const surging = expertPopularity.expertPopularity(SIZE, random);
  const shape = new expertLoadForecast.ExpertLoadForecast();
  const clock = new surgeForecast.SurgeForecast();
  let places = fullRepack.fullRepack({
    ranks: RANKS,
    slots: SLOTS,
    load: ordinary,
  });
  const skews: number[] = [];
  const surgeSkews: number[] = [];
  const figures = { megabytes: 0, surgeMegabytes: 0, tokensDelayed: 0 };
  for (let wall = 0; wall < HOURS * HOUR_MILLISECONDS;) {
    const inSurge = wall % HOUR_MILLISECONDS < SURGE_MILLISECONDS;
    const rate = TOKENS_PER_SECOND * (inSurge ? SURGE_FACTOR : 1);
    const load = loadAt(inSurge ? surging : ordinary, rate, wall, random);
    const skew = planPlacement.skewOf(load, places, RANKS);
    (inSurge ? surgeSkews : skews).push(skew);
    shape.observe(load, wall);
    clock.observe(rate, wall);
    const horizon = 600_000;
    const decision = await placementDecision.decidePlacement({
      load: shape.forecast(wall, horizon) ?? load,
      places,
      ranks: RANKS,
      experts: expertsSection(),
      placement: placementSection(exchangeRate),
    });
    const wallMilliseconds = wall;
    const held =
      holds &&
      deferPlacement.isDeferred({
        decision,
        forecast: clock,
        wallMilliseconds,
      });
    if (decision.kind === "change" && !held) {
      const { megabytes } = decision;
      figures.megabytes += megabytes;
      if (inSurge) figures.surgeMegabytes += megabytes;
      figures.tokensDelayed += (megabytes / MEGABYTES_PER_SECOND) * rate;
      places = decision.places;
    }
    wall += PERIOD_MILLISECONDS;
  }
  return {
    ...figures,
    skew: statistics.mean(skews),
    surgeSkew: statistics.mean(surgeSkews),
  };
}

function expertsSection(): configuration.Experts {
  return {
    slotsPerRank: SLOTS,
    megabytesPerExpert: MEGABYTES_PER_EXPERT,
    tokenMilliseconds: 0.1,
    megabytesPerSwitch: 100_000,
    switching: "at-step",
  };
}

function placementSection(
  exchangeRate: number,
): configuration.Preset["placement"] {
  return {
    enabled: true,
    exchangeRate,
    periodSeconds: PERIOD_MILLISECONDS / 1_000,
    horizonSeconds: 600,
    maximumSwitches: 1,
  };
}

/** Tokens a second by layer and expert, some experts rising and falling. */
function loadAt(
  shares: number[][],
  tokensPerSecond: number,
  wall: number,
  random: common.Random,
): number[][] {
  const phase = (2 * Math.PI * wall) / (HOURS * HOUR_MILLISECONDS);
  return shares.map((layer) =>
    layer.map((share, expert) => {
      const drift = 1 + 0.5 * Math.sin(phase + expert);
      return tokensPerSecond * share * drift * random.between(0.9, 1.1);
    }),
  );
}
