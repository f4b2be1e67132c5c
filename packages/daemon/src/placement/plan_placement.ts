import * as improveLayer from "./improve_layer.ts";
import * as layerPlan from "./layer_plan.ts";

/** Input of `planPlacement`. */
export interface PlacementInput {
  /** Number of ranks. */
  ranks: number;
  /** Expert slots of a rank in one layer. */
  slots: number;
  /**
   * Expected load: text tokens per second by layer and expert. The load of a
   * rank is the sum over its replicas; an expert's load is divided equally
   * among its replicas.
   */
  load: ArrayLike<number>[];
  /**
   * Placement in force: the ranks of each expert by layer. An expert map is a
   * placement with a version.
   */
  places: number[][][];
  /** Milliseconds that a rank takes for one text token of one expert. */
  millisecondsPerToken: number;
  /** Size of the weights of one expert of one layer. */
  megabytesPerExpert: number;
  /**
   * Milliseconds of iteration time that a plan must save over the horizon for
   * each megabyte that it moves.
   */
  exchangeRate: number;
  /** Horizon: seconds over which the iteration time saved is added up. */
  horizonSeconds: number;
  /** Megabytes that one plan may move at most. */
  megabytesLimit: number;
}

/** A plan with its gain and cost. */
export interface PlacementPlan {
  /** Planned placement: the ranks of each expert by layer. */
  places: number[][][];
  /** Number of changes in the plan. */
  changes: number;
  /**
   * Number of copies that the plan needs. A copy gives one rank the weights of
   * one expert of one layer that the rank does not have yet.
   */
  copies: number;
  /** Size of the weights of all copies. */
  megabytes: number;
  /** Skew of the placement in force, as `skewOfPlans` defines it. */
  skewBefore: number;
  /** Skew of the planned placement, as `skewOfPlans` defines it. */
  skewAfter: number;
  /** Iteration time saved over the horizon. */
  savedMilliseconds: number;
  /** Iteration time saved over the horizon less the cost of the copies. */
  netMilliseconds: number;
}

/** A change that the plan may make. */
interface Candidate {
  layer: number;
  change: improveLayer.Change;
  /**
   * Decrease of the layer's highest rank load by this change, in text tokens
   * per second.
   */
  layerGain: number;
}

/**
 * Plans the next placement. It makes those changes to the placement in force
 * that lower the highest rank loads most for each copy, and only those that
 * repay their cost. In each iteration a layer takes as long as its slowest
 * rank. Each layer is therefore improved separately, and the changes of all
 * layers compete for the megabytes that `megabytesLimit` allows the plan to
 * move.
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const plans = layerPlansOf(input);
  const skewBefore = skewOfPlans(plans);
  const maxLoadBefore = sumOfMaxRankLoads(plans);
  const copyCostMilliseconds = input.exchangeRate * input.megabytesPerExpert;
  // Iteration time saved over the horizon if the highest rank load of one layer
  // falls by one text token per second.
  const millisecondsPerUnitLoad =
    input.millisecondsPerToken * input.horizonSeconds;
  // Decrease of a layer's highest rank load, in text tokens per second, for
  // which the time saved equals the cost of one copy.
  const breakEvenGainPerCopy = copyCostMilliseconds / millisecondsPerUnitLoad;
  // A single change may gain less than that. `selectWithinBudget` drops batches
  // of changes whose mean gain does not repay their copies.
  const candidates = plans.flatMap((plan, layer) =>
    findCandidates(plan, layer, input, breakEvenGainPerCopy / 2),
  );
  const chosen = selectWithinBudget(candidates, input, breakEvenGainPerCopy);
  const result = layerPlansOf(input);
  let copies = 0;
  for (const { layer, change } of chosen) {
    improveLayer.applyChange(result[layer], change);
    copies += change.copies;
  }
  const savedMilliseconds =
    millisecondsPerUnitLoad * (maxLoadBefore - sumOfMaxRankLoads(result));
  return {
    places: result.map((plan) => plan.ranksOf),
    changes: chosen.length,
    copies,
    megabytes: copies * input.megabytesPerExpert,
    skewBefore,
    skewAfter: skewOfPlans(result),
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
 * changes in that order. Each change lowers the highest load among the ranks
 * that it concerns by more than `minGainPerCopy` for each copy. The highest
 * load of the whole layer falls by less, or not at all, if another rank has
 * nearly the same load.
 */
function findCandidates(
  plan: layerPlan.LayerPlan,
  layer: number,
  input: PlacementInput,
  minGainPerCopy: number,
): Candidate[] {
  const candidates: Candidate[] = [];
  // Not more changes than the layer has slots.
  const maxChanges = input.ranks * input.slots;
  for (let count = 0; count < maxChanges; count++) {
    const before = plan.maxRankLoad;
    const change = improveLayer.bestChange(plan, input.slots, minGainPerCopy);
    if (!change) break;
    improveLayer.applyChange(plan, change);
    candidates.push({ layer, change, layerGain: before - plan.maxRankLoad });
  }
  return candidates;
}

/**
 * Selects the changes that repay their cost and fit into `megabytesLimit`.
 * Each change of a layer builds on the ones before it, so a layer's changes are
 * selected from the first one on, without gaps. Batches of changes compete by
 * gain per copy. A batch repays its cost if its mean gain per copy is above
 * `copyCostInLoad`.
 */
function selectWithinBudget(
  candidates: Candidate[],
  input: PlacementInput,
  breakEvenGainPerCopy: number,
): Candidate[] {
  const batches = splitIntoBatches(candidates);
  const copyBudget = input.megabytesLimit / input.megabytesPerExpert;
  const blockedLayers = new Set<number>();
  const chosen: Candidate[] = [];
  let copies = 0;
  batches.sort((left, right) => right.gainPerCopy - left.gainPerCopy);
  for (const batch of batches) {
    if (batch.gainPerCopy <= breakEvenGainPerCopy) break;
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
  /** Sum of the changes' layer gains divided by the batch's copies. */
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
    const { layer, layerGain, change } = candidate;
    const batches = byLayer.get(layer) ?? [];
    byLayer.set(layer, batches);
    let batch: Batch = {
      layer,
      candidates: [candidate],
      copies: change.copies,
      gainPerCopy: layerGain / change.copies,
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

/** Sum of the highest rank loads of all layers. */
function sumOfMaxRankLoads(plans: layerPlan.LayerPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.maxRankLoad, 0);
}

/**
 * Skew of layer plans: the sum of the layers' highest rank loads divided by the
 * sum of their mean rank loads. A layer thus counts by its load. A slow rank's
 * load counts as many times as long as it takes. Returns 1 if there is no load.
 */
export function skewOfPlans(plans: layerPlan.LayerPlan[]): number {
  let maxLoadSum = 0;
  let meanLoadSum = 0;
  for (const plan of plans) {
    maxLoadSum += plan.maxRankLoad;
    meanLoadSum += plan.meanRankLoad;
  }
  return meanLoadSum > 0 ? maxLoadSum / meanLoadSum : 1;
}

/**
 * Skew of a placement under a load by layer and expert. `paces` as in
 * `LayerPlan`.
 */
export function skewOf(
  load: ArrayLike<number>[],
  places: number[][][],
  ranks: number,
  paces?: ArrayLike<number>,
): number {
  return skewOfPlans(
    load.map(
      (layerLoad, layer) =>
        new layerPlan.LayerPlan(layerLoad, places[layer], ranks, paces),
    ),
  );
}
