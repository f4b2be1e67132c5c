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
  const plans = plansOf(input);
  const skewBefore = meanSkew(plans);
  const slowestBefore = totalSlowest(plans);
  const price = input.exchangeRate * input.megabytesPerExpert;
  const worth = input.millisecondsPerToken * input.horizonSeconds;
  const pricePerCopy = price / worth;
  const candidates = plans.flatMap((plan, layer) =>
    improveOne(plan, layer, input, pricePerCopy / 2),
  );
  const chosen = chooseAffordable(candidates, input, pricePerCopy);
  const result = plansOf(input);
  let copies = 0;
  for (const { layer, change } of chosen) {
    improveLayer.applyChange(result[layer], change);
    copies += change.copies;
  }
  const saved = worth * (slowestBefore - totalSlowest(result));
  return {
    places: result.map((plan) => plan.ranksOf),
    changes: chosen.length,
    copies,
    megabytes: copies * input.megabytesPerExpert,
    skewBefore,
    skewAfter: meanSkew(result),
    savedMilliseconds: saved,
    netMilliseconds: saved - copies * price,
  };
}

function plansOf(input: PlacementInput): layerPlan.LayerPlan[] {
  return input.load.map(
    (load, layer) =>
      new layerPlan.LayerPlan(load, input.places[layer], input.ranks),
  );
}

/** All changes of one layer in order, each with its gain. */
function improveOne(
  plan: layerPlan.LayerPlan,
  layer: number,
  input: PlacementInput,
  smallestGain: number,
): Candidate[] {
  const candidates: Candidate[] = [];
  const most = input.ranks * input.slots;
  for (let count = 0; count < most; count++) {
    const before = plan.slowest;
    const change = improveLayer.bestChange(plan, input.slots, smallestGain);
    if (!change) break;
    improveLayer.applyChange(plan, change);
    candidates.push({ layer, change, gain: before - plan.slowest });
  }
  return candidates;
}

/**
 * Changes of a layer build on each other, so a layer is taken up to some change
 * or not at all. Runs of changes compete by gain per copy; a run is worth it
 * when its mean gain for each copy is above the price.
 */
function chooseAffordable(
  candidates: Candidate[],
  input: PlacementInput,
  pricePerCopy: number,
): Candidate[] {
  const runs = splitIntoRuns(candidates);
  const budget = input.megabytesLimit / input.megabytesPerExpert;
  const blocked = new Set<number>();
  const chosen: Candidate[] = [];
  let copies = 0;
  runs.sort((left, right) => right.rate - left.rate);
  for (const run of runs) {
    if (run.rate <= pricePerCopy) break;
    if (blocked.has(run.layer)) continue;
    if (copies + run.copies > budget) {
      blocked.add(run.layer);
      continue;
    }
    copies += run.copies;
    chosen.push(...run.candidates);
  }
  return chosen;
}

interface Run {
  layer: number;
  candidates: Candidate[];
  copies: number;
  /** Gain per copy. */
  rate: number;
}

/**
 * Cuts each layer's changes into runs of falling gain per copy (its upper
 * convex hull). A change that alone gains nothing, as two ranks share the peak,
 * joins the one after it.
 */
function splitIntoRuns(candidates: Candidate[]): Run[] {
  const byLayer = new Map<number, Run[]>();
  for (const candidate of candidates) {
    const { layer, gain, change } = candidate;
    const runs = byLayer.get(layer) ?? [];
    byLayer.set(layer, runs);
    let run: Run = {
      layer,
      candidates: [candidate],
      copies: change.copies,
      rate: gain / change.copies,
    };
    for (
      let last = runs.at(-1);
      last && last.rate <= run.rate;
      last = runs.at(-1)
    ) {
      runs.pop();
      const copies = last.copies + run.copies;
      const total = last.rate * last.copies + run.rate * run.copies;
      run = {
        layer,
        candidates: [...last.candidates, ...run.candidates],
        copies,
        rate: total / copies,
      };
    }
    runs.push(run);
  }
  return [...byLayer.values()].flat();
}

function totalSlowest(plans: layerPlan.LayerPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.slowest, 0);
}

/** Slowest over mean rank load, over all layers together. */
export function meanSkew(plans: layerPlan.LayerPlan[]): number {
  let slowest = 0;
  let mean = 0;
  for (const plan of plans) {
    slowest += plan.slowest;
    mean += plan.rankLoad.reduce((sum, load) => sum + load, 0) / plan.ranks;
  }
  return mean > 0 ? slowest / mean : 1;
}

/** Skew of places under a load. */
export function skewOf(
  load: ArrayLike<number>[],
  places: number[][][],
  ranks: number,
): number {
  return meanSkew(
    load.map(
      (one, layer) => new layerPlan.LayerPlan(one, places[layer], ranks),
    ),
  );
}
