import * as improveLayer from "./improve_layer.ts";
import * as layerPlan from "./layer_plan.ts";

/** Input of `planPlacement`. */
export interface PlacementInput {
  /** Number of ranks. */
  ranks: number;
  /** Expert slots of a rank in one layer. */
  slots: number;
  /** Expected text tokens per second by layer and expert. */
  load: ArrayLike<number>[];
  /** Ranks of each expert by layer, as in force. */
  places: number[][][];
  /** Milliseconds that a rank takes for one text token of one expert. */
  millisecondsPerToken: number;
  /** Size of the weights of one expert of one layer. */
  megabytesPerExpert: number;
  /** Milliseconds of iteration time saved that repay one megabyte moved. */
  exchangeRate: number;
  /** Seconds over which the time saved is added up. */
  horizonSeconds: number;
  /** Megabytes that one plan may move at most. */
  megabytesLimit: number;
}

/** A plan with its gain and cost. */
export interface PlacementPlan {
  /** Ranks of each expert by layer. */
  places: number[][][];
  /** Number of changes in the plan. */
  changes: number;
  /** Number of experts that ranks must load. */
  copies: number;
  /** Size of the weights that ranks must load. */
  megabytes: number;
  /** Highest over mean rank load before the plan, weighted by layer load. */
  skewBefore: number;
  /** Highest over mean rank load after the plan, weighted by layer load. */
  skewAfter: number;
  /** Iteration time saved over the horizon. */
  savedMilliseconds: number;
  /** Iteration time saved less the cost of moving experts. */
  netMilliseconds: number;
}

/** A change that the plan may make. */
interface Candidate {
  layer: number;
  change: improveLayer.Change;
  /** Decrease of the layer's highest rank load, in text tokens per second. */
  gain: number;
}

/**
 * Plans the next expert map. It makes those changes to the map in force that
 * gain most for the bytes that they move, and only those that repay their cost.
 * In each iteration a layer takes as long as its slowest rank. Each layer is
 * therefore improved separately, and all layers compete for the bytes.
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const plans = layerPlansOf(input);
  const skewBefore = meanSkew(plans);
  const maxLoadBefore = totalMaxRankLoad(plans);
  const copyCostMilliseconds = input.exchangeRate * input.megabytesPerExpert;
  const millisecondsPerUnitLoad =
    input.millisecondsPerToken * input.horizonSeconds;
  const copyCostInLoad = copyCostMilliseconds / millisecondsPerUnitLoad;
  const candidates = plans.flatMap((plan, layer) =>
    findCandidates(plan, layer, input, copyCostInLoad / 2),
  );
  const chosen = selectWithinBudget(candidates, input, copyCostInLoad);
  const result = layerPlansOf(input);
  let copies = 0;
  for (const { layer, change } of chosen) {
    improveLayer.applyChange(result[layer], change);
    copies += change.copies;
  }
  const savedMilliseconds =
    millisecondsPerUnitLoad * (maxLoadBefore - totalMaxRankLoad(result));
  return {
    places: result.map((plan) => plan.ranksOf),
    changes: chosen.length,
    copies,
    megabytes: copies * input.megabytesPerExpert,
    skewBefore,
    skewAfter: meanSkew(result),
    savedMilliseconds,
    netMilliseconds: savedMilliseconds - copies * copyCostMilliseconds,
  };
}

function layerPlansOf(input: PlacementInput): layerPlan.LayerPlan[] {
  return input.load.map(
    (load, layer) =>
      new layerPlan.LayerPlan(load, input.places[layer], input.ranks),
  );
}

/**
 * Improves one layer's plan by one change after the other and returns the
 * changes in that order. Each relieves the rank with the highest load by more
 * than `minGainPerCopy` for each copy. The gain for the layer is smaller, or
 * zero, if other ranks have nearly the same load.
 */
function findCandidates(
  plan: layerPlan.LayerPlan,
  layer: number,
  input: PlacementInput,
  minGainPerCopy: number,
): Candidate[] {
  const candidates: Candidate[] = [];
  const maxChanges = input.ranks * input.slots;
  for (let count = 0; count < maxChanges; count++) {
    const before = plan.maxRankLoad;
    const change = improveLayer.bestChange(plan, input.slots, minGainPerCopy);
    if (!change) break;
    improveLayer.applyChange(plan, change);
    candidates.push({ layer, change, gain: before - plan.maxRankLoad });
  }
  return candidates;
}

/**
 * Selects the changes that repay their cost and fit into the limit on bytes.
 * Each change of a layer builds on the ones before it, so a layer's changes are
 * selected from the first one on, without gaps. Batches of changes compete by
 * gain per copy. A batch repays its cost if its mean gain per copy is above
 * `copyCostInLoad`.
 */
function selectWithinBudget(
  candidates: Candidate[],
  input: PlacementInput,
  copyCostInLoad: number,
): Candidate[] {
  const batches = splitIntoBatches(candidates);
  const copyBudget = input.megabytesLimit / input.megabytesPerExpert;
  const blockedLayers = new Set<number>();
  const chosen: Candidate[] = [];
  let copies = 0;
  batches.sort((left, right) => right.gainPerCopy - left.gainPerCopy);
  for (const batch of batches) {
    if (batch.gainPerCopy <= copyCostInLoad) break;
    if (blockedLayers.has(batch.layer)) continue;
    if (copies + batch.copies > copyBudget) {
      blockedLayers.add(batch.layer);
      continue;
    }
    copies += batch.copies;
    chosen.push(...batch.candidates);
  }
  return chosen;
}

/**
 * Consecutive changes of one layer that are selected together or not at all.
 */
interface Batch {
  layer: number;
  candidates: Candidate[];
  copies: number;
  /** Mean gain for each copy. */
  gainPerCopy: number;
}

/**
 * Splits each layer's changes into batches with decreasing gain per copy (the
 * upper convex hull of gain over copies). A change that gains nothing by
 * itself, because two ranks have the highest load, joins the change after it.
 */
function splitIntoBatches(candidates: Candidate[]): Batch[] {
  const byLayer = new Map<number, Batch[]>();
  for (const candidate of candidates) {
    const { layer, gain, change } = candidate;
    const batches = byLayer.get(layer) ?? [];
    byLayer.set(layer, batches);
    let batch: Batch = {
      layer,
      candidates: [candidate],
      copies: change.copies,
      gainPerCopy: gain / change.copies,
    };
    for (
      let previous = batches.at(-1);
      previous && previous.gainPerCopy <= batch.gainPerCopy;
      previous = batches.at(-1)
    ) {
      batches.pop();
      const copies = previous.copies + batch.copies;
      const totalGain =
        previous.gainPerCopy * previous.copies +
        batch.gainPerCopy * batch.copies;
      batch = {
        layer,
        candidates: [...previous.candidates, ...batch.candidates],
        copies,
        gainPerCopy: totalGain / copies,
      };
    }
    batches.push(batch);
  }
  return [...byLayer.values()].flat();
}

function totalMaxRankLoad(plans: layerPlan.LayerPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.maxRankLoad, 0);
}

/**
 * Sum of the layers' highest rank loads over the sum of their mean rank loads;
 * 1 without load.
 */
export function meanSkew(plans: layerPlan.LayerPlan[]): number {
  let maxLoad = 0;
  let meanLoad = 0;
  for (const plan of plans) {
    maxLoad += plan.maxRankLoad;
    meanLoad += plan.rankLoad.reduce((sum, load) => sum + load, 0) / plan.ranks;
  }
  return meanLoad > 0 ? maxLoad / meanLoad : 1;
}

/** Skew of a placement under a load by layer and expert. */
export function skewOf(
  load: ArrayLike<number>[],
  places: number[][][],
  ranks: number,
): number {
  return meanSkew(
    load.map(
      (layerLoad, layer) =>
        new layerPlan.LayerPlan(layerLoad, places[layer], ranks),
    ),
  );
}
