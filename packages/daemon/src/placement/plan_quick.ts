import * as improveLayer from "./improve_layer.ts";
import * as layerPlan from "./layer_plan.ts";
import * as planPlacement from "./plan_placement.ts";

/** What a quick plan is made from. */
export interface QuickPlanInput {
  ranks: number;
  /** Expert slots of a rank in one layer. */
  slots: number;
  /** Load by layer and expert, in any unit. */
  load: readonly (readonly number[])[];
  /** Ranks of each expert by layer, as in force. */
  places: number[][][];
  /**
   * Part of the time of all layers' slowest ranks that a copy must save: what
   * loading it costs.
   */
  minGainSharePerCopy: number;
  /** Experts that one rank loads at most, over all layers. */
  maxCopiesPerRank: number;
  /** Experts that one rank loads at most in one layer. */
  maxCopiesPerRankAndLayer: number;
}

/** A plan with what it is expected to gain. */
export interface QuickPlan {
  places: number[][][];
  copies: number;
  /** Most experts that one rank has to load: loading takes that long. */
  mostCopiesOfRank: number;
  /** Slowest over mean rank load, averaged over layers by load. */
  skewBefore: number;
  skewAfter: number;
}

/**
 * The next map where demand changes every few seconds: ranks load their new
 * experts one after the other, so what counts is how many the busiest of them has
 * to load before the map can be used. The changes that gain most come first, over
 * all layers, until no rank may load more.
 */
export function planQuick(input: QuickPlanInput): QuickPlan {
  const plans = input.load.map(
    (load, layer) =>
      new layerPlan.LayerPlan(load, input.places[layer], input.ranks),
  );
  const copyCounts = new CopyCounts(input);
  const skewBefore = planPlacement.meanSkew(plans);
  const totalMaxRankLoad = plans.reduce(
    (sum, plan) => sum + plan.maxRankLoad,
    0,
  );
  const minGain = totalMaxRankLoad * input.minGainSharePerCopy;
  const findChange = (layer: number) =>
    improveLayer.bestChange(plans[layer], input.slots, minGain, (rank) =>
      copyCounts.allowsRank(layer, rank),
    );
  const candidates = plans.map((_, layer) => findChange(layer));
  for (;;) {
    const layer = layerWithBestCandidate(candidates);
    if (layer < 0) break;
    const change = candidates[layer] as improveLayer.Change;
    copyCounts.add(layer, change);
    improveLayer.applyChange(plans[layer], change);
    for (let other = 0; other < plans.length; other++) {
      const candidate = candidates[other];
      // A rank that may load no more rules out changes planned before.
      const blocked = candidate && !copyCounts.allows(other, candidate);
      if (other !== layer && !blocked) continue;
      candidates[other] = findChange(other);
    }
  }
  return {
    places: plans.map((plan) => plan.ranksOf),
    copies: copyCounts.total,
    mostCopiesOfRank: copyCounts.maxPerRank,
    skewBefore,
    skewAfter: planPlacement.meanSkew(plans),
  };
}

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

/** Experts that each rank has to load for the changes made so far. */
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

  /** Whether the ranks that a change has load an expert may load one more. */
  allows(layer: number, change: improveLayer.Change): boolean {
    return ranksLoading(change).every((rank) => this.allowsRank(layer, rank));
  }

  /** Whether a rank may load one more expert of a layer. */
  allowsRank(layer: number, rank: number): boolean {
    const { maxCopiesPerRank, maxCopiesPerRankAndLayer } = this.input;
    if (this.#byRank[rank] >= maxCopiesPerRank) return false;
    return this.#byLayerAndRank[layer][rank] < maxCopiesPerRankAndLayer;
  }

  add(layer: number, change: improveLayer.Change): void {
    for (const rank of ranksLoading(change)) {
      this.#byRank[rank]++;
      this.#byLayerAndRank[layer][rank]++;
      this.total++;
    }
  }
}

/** Ranks that have to load an expert for a change. */
function ranksLoading(change: improveLayer.Change): number[] {
  return change.kind === improveLayer.ChangeKind.Swap
    ? [change.from, change.to]
    : [change.to];
}
