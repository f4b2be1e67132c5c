import type * as configuration from "@geraniumkeel/configuration";
import * as planInWorker from "./plan_in_worker.ts";
import * as planPlacement from "./plan_placement.ts";

/**
 * Largest input, as layers times experts times ranks, that is planned on the
 * main thread. For smaller inputs, starting a worker costs more than it saves.
 */
const MAX_MAIN_THREAD_INPUT_SIZE = 16_384;
/**
 * Least decrease of the skew, as a share of the current skew, for which the map
 * changes. A smaller one is noise, and following it would move experts back and
 * forth.
 */
const MIN_GAIN_SHARE = 0.02;

/** Whether to change the map, and the figures that explain the decision. */
export interface PlacementDecision {
  kind: "keep" | "change";
  /**
   * Ranks of each expert by layer: the planned placement if the map is to
   * change, otherwise the one in force.
   */
  places: number[][][];
  /** Skew of the placement in force under the expected load. */
  skewBefore: number;
  /** Skew of the planned placement under the expected load. */
  skewAfter: number;
  /** Number of changes in the plan. */
  changes: number;
  /** Size of the weights that the plan moves to ranks. */
  megabytes: number;
  /** Iteration time that the plan saves over `horizonSeconds` of the preset. */
  savedMilliseconds: number;
  /** Iteration time saved less the cost of moving the weights. */
  netMilliseconds: number;
}

/**
 * Plans a new placement for the expected load and decides whether its gain
 * repays the cost of moving experts.
 */
export async function decidePlacement(parameters: {
  /** Expected text tokens per second by layer and expert. */
  load: number[][];
  /** Ranks of each expert by layer, as in force. */
  places: number[][][];
  /** Number of ranks. */
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
