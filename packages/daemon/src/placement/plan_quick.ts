import * as improveLayer from "./improve_layer.ts";
import * as layerPlan from "./layer_plan.ts";
import * as planPlacement from "./plan_placement.ts";

/** Input of `planQuick`. */
export interface QuickPlanInput {
  /** Number of ranks. */
  ranks: number;
  /** Expert slots of a rank in one layer. */
  slots: number;
  /** Load by layer and expert, in any unit. */
  load: readonly (readonly number[])[];
  /** Ranks of each expert by layer, as in force. */
  places: number[][][];
  /**
   * How many times as long as usual each rank takes for its load, at least 1;
   * without this, all ranks are equally fast.
   */
  paces?: readonly number[];
  /**
   * Least gain of each copy, as a share of the sum of all layers' highest rank
   * loads at the usual pace. It stands for the cost of the copy, which a slow
   * rank does not raise.
   */
  minGainSharePerCopy: number;
  /** Copies that one rank may receive at most, over all layers. */
  maxCopiesPerRank: number;
  /** Copies that one rank may receive at most in one layer. */
  maxCopiesPerRankAndLayer: number;
}

/** A plan with its expected effect on the skew. */
export interface QuickPlan {
  /** Ranks of each expert by layer. */
  places: number[][][];
  /** Number of changes; those that only remove a replica need no copy. */
  changes: number;
  /** Number of copies that all ranks together must receive. */
  copies: number;
  /**
   * Number of copies that the rank with the most copies must receive. It
   * decides how long copying takes, because all ranks copy at the same time.
   */
  mostCopiesOfRank: number;
  /**
   * Skew of the placement in force, as `planPlacement.skewOfPlans` defines it.
   */
  skewBefore: number;
  /**
   * Skew of the planned placement, as `planPlacement.skewOfPlans` defines it.
   */
  skewAfter: number;
}

/**
 * Plans the next placement for a group whose demand changes every few seconds,
 * so that the group can use it quickly. A rank receives its copies one after
 * the other, and the group can use the new map once the rank with the most
 * copies has received them all. Unlike `planPlacement`, the plan therefore
 * limits the copies of each rank, not the megabytes of all. It makes the
 * changes with the highest gain per copy first, over all layers, until none
 * gains enough within the limits.
 */
export function planQuick(input: QuickPlanInput): QuickPlan {
  const plans = input.load.map(
    (load, layer) =>
      new layerPlan.LayerPlan(
        load,
        input.places[layer],
        input.ranks,
        input.paces,
      ),
  );
  const copyCounts = new CopyCounts(input);
  const skewBefore = planPlacement.skewOfPlans(plans);
  const usualPeakSum = plans.reduce((sum, plan) => sum + plan.usualPeak, 0);
  const minGain = usualPeakSum * input.minGainSharePerCopy;
  const findChange = (layer: number) =>
    improveLayer.bestChange(plans[layer], input.slots, minGain, (rank) =>
      copyCounts.allowsRank(layer, rank),
    );
  const candidates = plans.map((_, layer) => findChange(layer));
  let changes = 0;
  for (;;) {
    const layer = layerWithBestCandidate(candidates);
    if (layer < 0) break;
    const change = candidates[layer] as improveLayer.Change;
    changes++;
    copyCounts.add(layer, change);
    improveLayer.applyChange(plans[layer], change);
    for (let other = 0; other < plans.length; other++) {
      const candidate = candidates[other];
      // The candidates of other layers stay valid unless they need a copy at a
      // rank that has now reached its limit.
      const blocked = candidate && !copyCounts.allows(other, candidate);
      if (other !== layer && !blocked) continue;
      candidates[other] = findChange(other);
    }
  }
  return {
    places: plans.map((plan) => plan.ranksOf),
    changes,
    copies: copyCounts.total,
    mostCopiesOfRank: copyCounts.maxPerRank,
    skewBefore,
    skewAfter: planPlacement.skewOfPlans(plans),
  };
}

/** Layer whose candidate has the highest gain per copy; -1 if there is none. */
function layerWithBestCandidate(
  candidates: (improveLayer.Change | undefined)[],
): number {
  let best = -1;
  let bestGain = 0;
  candidates.forEach((candidate, layer) => {
    if (!candidate || candidate.gainPerCopy <= bestGain) return;
    bestGain = candidate.gainPerCopy;
    best = layer;
  });
  return best;
}

/** Number of copies that each rank must receive for the changes made so far. */
class CopyCounts {
  readonly #byRank: number[];
  readonly #byLayerAndRank: number[][];
  total = 0;

  constructor(readonly input: QuickPlanInput) {
    this.#byRank = new Array<number>(input.ranks).fill(0);
    this.#byLayerAndRank = input.load.map(() =>
      new Array<number>(input.ranks).fill(0),
    );
  }

  get maxPerRank(): number {
    return Math.max(...this.#byRank);
  }

  /** Whether all ranks that must receive a copy for a change may do so. */
  allows(layer: number, change: improveLayer.Change): boolean {
    return ranksReceivingCopy(change).every((rank) =>
      this.allowsRank(layer, rank),
    );
  }

  /** Whether a rank may receive one more copy of an expert of a layer. */
  allowsRank(layer: number, rank: number): boolean {
    const { maxCopiesPerRank, maxCopiesPerRankAndLayer } = this.input;
    if (this.#byRank[rank] >= maxCopiesPerRank) return false;
    return this.#byLayerAndRank[layer][rank] < maxCopiesPerRankAndLayer;
  }

  add(layer: number, change: improveLayer.Change): void {
    for (const rank of ranksReceivingCopy(change)) {
      this.#byRank[rank]++;
      this.#byLayerAndRank[layer][rank]++;
      this.total++;
    }
  }
}

/** Ranks that must receive a copy of an expert for a change. */
function ranksReceivingCopy(change: improveLayer.Change): number[] {
  switch (change.kind) {
    case improveLayer.ChangeKind.Swap:
      return [change.from, change.to];
    case improveLayer.ChangeKind.Remove:
      return [];
    case improveLayer.ChangeKind.Replicate:
    case improveLayer.ChangeKind.Move:
    case improveLayer.ChangeKind.Displace:
      return [change.to];
  }
}
