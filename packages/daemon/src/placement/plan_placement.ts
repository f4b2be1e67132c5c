import * as improveLayer from "./improve_layer.ts";
import * as layerPlan from "./layer_plan.ts";

/** What a plan is made from. */
export interface PlacementInput {
  ranks: number;
  /** Expert slots of a rank in one layer. */
  slots: number;
  /** Expected tokens a second by layer and expert. */
  load: ArrayLike<number>[];
  /** Ranks of each expert by layer, as in force. */
  places: number[][][];
  /** Milliseconds a rank takes for one token of one expert. */
  millisecondsPerToken: number;
  megabytesPerExpert: number;
  /** Milliseconds of step time saved that repay one MB moved. */
  exchangeRate: number;
  /** Seconds over which a gain is counted. */
  horizonSeconds: number;
  /** Most megabytes that may be moved at once. */
  megabytesLimit: number;
}

/** A plan with what it gains and costs. */
export interface PlacementPlan {
  places: number[][][];
  changes: number;
  copies: number;
  megabytes: number;
  /** Slowest over mean rank load, averaged over layers by load. */
  skewBefore: number;
  skewAfter: number;
  /** Milliseconds saved over the horizon. */
  savedMilliseconds: number;
  /** Savings less the price of what is moved, in milliseconds. */
  netMilliseconds: number;
}

/** A change with its layer and what it gains for each copy. */
interface Candidate {
  layer: number;
  change: improveLayer.Change;
  gain: number;
}

/**
 * The next expert map: from the one in force, the changes that gain most for
 * the bytes they move, as long as each repays its price. A layer's step part
 * takes as long as its slowest rank, so each layer is improved on its own, and
 * all layers compete for the bytes.
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

/** All changes of one layer in order, each with its gain. */
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
 * Changes of a layer build on each other, so a layer is taken up to some change
 * or not at all. Runs of changes compete by gain per copy; a run is worth it
 * when its mean gain for each copy is above the price.
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

interface Batch {
  layer: number;
  candidates: Candidate[];
  copies: number;
  /** Gain per copy. */
  gainPerCopy: number;
}

/**
 * Cuts each layer's changes into runs of falling gain per copy (its upper
 * convex hull). A change that alone gains nothing, as two ranks share the peak,
 * joins the one after it.
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

/** Slowest over mean rank load, over all layers together. */
export function meanSkew(plans: layerPlan.LayerPlan[]): number {
  let maxLoad = 0;
  let meanLoad = 0;
  for (const plan of plans) {
    maxLoad += plan.maxRankLoad;
    meanLoad += plan.rankLoad.reduce((sum, load) => sum + load, 0) / plan.ranks;
  }
  return meanLoad > 0 ? maxLoad / meanLoad : 1;
}

/** Skew of places under a load. */
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
