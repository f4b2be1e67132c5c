import type * as configuration from "@geraniumkeel/configuration";
import * as planInWorker from "./plan_in_worker.ts";
import * as planPlacement from "./plan_placement.ts";

/** Inputs too small for a worker to be worth its start. */
const MAX_MAIN_THREAD_INPUT_SIZE = 16_384;
/**
 * Gain below this share of the present step part is noise: acting on it would
 * move experts to and fro.
 */
const MIN_GAIN_SHARE = 0.02;

/** Whether to change the map, with the figures that explain it. */
export interface PlacementDecision {
  kind: "keep" | "change";
  /** The map to use; the present one if it is kept. */
  places: number[][][];
  skewBefore: number;
  skewAfter: number;
  changes: number;
  megabytes: number;
  savedMilliseconds: number;
  netMilliseconds: number;
}

/** Decides whether a new map repays what it costs to move. */
export async function decidePlacement(parameters: {
  load: number[][];
  places: number[][][];
  ranks: number;
  experts: configuration.Experts;
  placement: configuration.Preset["placement"];
}): Promise<PlacementDecision> {
  const { load, places, ranks, experts, placement } = parameters;
  const input: planPlacement.PlacementInput = {
    ranks,
    slots: experts.slotsPerRank,
    load,
    places,
    millisecondsPerToken: experts.tokenMilliseconds,
    megabytesPerExpert: experts.megabytesPerExpert,
    exchangeRate: placement.exchangeRate,
    horizonSeconds: placement.horizonSeconds,
    megabytesLimit: experts.megabytesPerSwitch,
  };
  const size = load.length * (load[0]?.length ?? 0) * ranks;
  const plan =
    size <= MAX_MAIN_THREAD_INPUT_SIZE
      ? planPlacement.planPlacement(input)
      : await planInWorker.planInWorker(input);
  const share = (plan.skewBefore - plan.skewAfter) / plan.skewBefore;
  const paysOff = plan.netMilliseconds > 0 && share >= MIN_GAIN_SHARE;
  const { skewBefore, skewAfter, changes, megabytes } = plan;
  const { savedMilliseconds, netMilliseconds } = plan;
  return {
    kind: paysOff ? "change" : "keep",
    places: paysOff ? plan.places : places,
    skewBefore,
    skewAfter,
    changes,
    megabytes,
    savedMilliseconds,
    netMilliseconds,
  };
}
