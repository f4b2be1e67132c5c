import type * as layerPlan from "./layer_plan.ts";

/** Kinds of change to the placement of a layer's experts. */
export enum ChangeKind {
  /** A free slot gets one more replica of an expert. */
  Replicate = "replicate",
  /** A replica moves into a free slot. */
  Move = "move",
  /** Replicas of two experts exchange their ranks. */
  Swap = "swap",
  /** One more replica of an expert replaces a replica of another expert. */
  Displace = "displace",
  /** A slow rank gives up its replica of an expert that others have too. */
  Remove = "remove",
}

/** Number of copies that a change of each kind needs. */
const COPIES: Record<ChangeKind, number> = {
  [ChangeKind.Replicate]: 1,
  [ChangeKind.Move]: 1,
  // Each of the two experts must be copied to its new rank.
  [ChangeKind.Swap]: 2,
  [ChangeKind.Displace]: 1,
  [ChangeKind.Remove]: 0,
};

/** One change to the placement of a layer's experts. */
export interface Change {
  kind: ChangeKind;
  expert: number;
  /** Rank with the highest load, which the change relieves. */
  from: number;
  /** Rank that gets a replica of the expert; -1 if there is none. */
  to: number;
  /** The second expert of a swap, or the displaced one; -1 if there is none. */
  other: number;
  /** Number of ranks that must receive a copy of an expert for the change. */
  copies: number;
  /**
   * Decrease of the highest load among the ranks concerned, divided by
   * `copies` if there are any, in the unit of load.
   */
  gainPerCopy: number;
}

/**
 * Number of ranks, the least loaded ones, considered as targets of a change.
 */
const MAX_TARGET_RANKS = 6;
/**
 * Least gain of a change for each copy, as a share of the highest rank load.
 * With a lower value, planning takes long and makes changes that noise in the
 * load reverses.
 */
const MIN_GAIN_SHARE = 2e-3;

/**
 * Finds the change that relieves the rank with the highest load most for each
 * copy, without raising another rank to that load. Returns `undefined` if no
 * change gains more than `minGainPerCopy`, in the unit of load. Ranks for which
 * `mayReceiveCopy` returns false get no further expert.
 */
export function bestChange(
  plan: layerPlan.LayerPlan,
  slots: number,
  minGainPerCopy: number,
  mayReceiveCopy: (rank: number) => boolean = () => true,
): Change | undefined {
  const from = plan.mostLoadedRank;
  const peak = plan.rankLoad[from];
  // Scalars instead of an object for each change, because thousands of changes
  // are compared for each one that is made.
  let bestKind: ChangeKind | undefined;
  let bestExpert = -1;
  let bestTo = -1;
  let bestOther = -1;
  let bestGain = Math.max(peak * MIN_GAIN_SHARE, minGainPerCopy);
  const targets = plan
    .leastLoadedRanks(MAX_TARGET_RANKS)
    .filter(mayReceiveCopy);
  const maySwap = mayReceiveCopy(from);
  const fromPace = plan.paces[from];
  for (const expert of plan.expertsOn[from]) {
    const ranks = plan.ranksOf[expert];
    const share = plan.load[expert] / ranks.length;
    const shareAfter = plan.load[expert] / (ranks.length + 1);
    if (fromPace > 1 && ranks.length > 1) {
      const gain = peak - peakWithout(plan, ranks, from, expert);
      if (gain > bestGain) {
        bestGain = gain;
        bestKind = ChangeKind.Remove;
        bestExpert = expert;
        bestTo = -1;
        bestOther = -1;
      }
    }
    for (const to of targets) {
      if (to === from || ranks.includes(to)) continue;
      const toLoad = plan.rankLoad[to];
      const toPace = plan.paces[to];
      if (plan.expertsOn[to].length < slots) {
        const replicated = Math.max(
          peak - fromPace * share + fromPace * shareAfter,
          toLoad + toPace * shareAfter,
        );
        const moved = Math.max(
          peak - fromPace * share,
          toLoad + toPace * share,
        );
        const gain = peak - Math.min(replicated, moved);
        if (gain <= bestGain) continue;
        bestGain = gain;
        bestKind = replicated <= moved ? ChangeKind.Replicate : ChangeKind.Move;
        bestExpert = expert;
        bestTo = to;
        bestOther = -1;
        continue;
      }
      for (const other of plan.expertsOn[to]) {
        const otherRanks = plan.ranksOf[other];
        const otherShare = plan.load[other] / otherRanks.length;
        const shared = otherRanks.includes(from);
        if (!shared && maySwap) {
          const swapped = Math.max(
            peak - fromPace * share + fromPace * otherShare,
            toLoad + toPace * share - toPace * otherShare,
          );
          // A swap takes two copies: each expert must be copied to its new
          // rank.
          const gain = (peak - swapped) / 2;
          if (gain > bestGain) {
            bestGain = gain;
            bestKind = ChangeKind.Swap;
            bestExpert = expert;
            bestTo = to;
            bestOther = other;
          }
        }
        if (otherRanks.length < 2) continue;
        const addedLoad =
          plan.load[other] / (otherRanks.length - 1) - otherShare;
        const displaced = Math.max(
          peak -
            fromPace * share +
            fromPace * shareAfter +
            (shared ? fromPace * addedLoad : 0),
          toLoad - toPace * otherShare + toPace * shareAfter,
        );
        const gain = peak - displaced;
        if (gain <= bestGain) continue;
        if (!canAbsorb(plan, otherRanks, to, addedLoad, peak)) continue;
        bestGain = gain;
        bestKind = ChangeKind.Displace;
        bestExpert = expert;
        bestTo = to;
        bestOther = other;
      }
    }
  }
  if (bestKind === undefined) return undefined;
  return {
    kind: bestKind,
    expert: bestExpert,
    from,
    to: bestTo,
    other: bestOther,
    copies: COPIES[bestKind],
    gainPerCopy: bestGain,
  };
}

/**
 * Whether the remaining ranks of an expert stay below the highest load after
 * one replica is removed and each of them takes on `addedLoad`.
 */
function canAbsorb(
  plan: layerPlan.LayerPlan,
  ranks: number[],
  removed: number,
  addedLoad: number,
  peak: number,
): boolean {
  for (const rank of ranks) {
    if (rank === removed) continue;
    const added = plan.paces[rank] * addedLoad;
    if (plan.rankLoad[rank] + added >= peak) return false;
  }
  return true;
}

/**
 * Highest load among the ranks of an expert after one of them gave up its
 * replica.
 */
function peakWithout(
  plan: layerPlan.LayerPlan,
  ranks: number[],
  removed: number,
  expert: number,
): number {
  const share = plan.load[expert] / ranks.length;
  const addedLoad = plan.load[expert] / (ranks.length - 1) - share;
  let peak = plan.rankLoad[removed] - plan.paces[removed] * share;
  for (const rank of ranks) {
    if (rank === removed) continue;
    const load = plan.rankLoad[rank] + plan.paces[rank] * addedLoad;
    peak = Math.max(peak, load);
  }
  return peak;
}

/** Applies a change to a layer's plan. */
export function applyChange(plan: layerPlan.LayerPlan, change: Change): void {
  const { kind, expert, from, to, other } = change;
  switch (kind) {
    case ChangeKind.Replicate:
      return plan.add(expert, to);
    case ChangeKind.Move:
      return plan.move(expert, from, to);
    case ChangeKind.Swap:
      plan.move(expert, from, to);
      return plan.move(other, to, from);
    case ChangeKind.Displace:
      plan.remove(other, to);
      return plan.add(expert, to);
    case ChangeKind.Remove:
      return plan.remove(expert, from);
  }
}
