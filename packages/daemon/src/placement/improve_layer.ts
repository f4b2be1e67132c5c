import type * as layerPlan from "./layer_plan.ts";

/** Kinds of change to a layer. */
export enum ChangeKind {
  /** A further replica in a free slot. */
  Replicate = "replicate",
  /** A replica moves into a free slot. */
  Move = "move",
  /** Two replicas change places. */
  Swap = "swap",
  /** A replica gives way to one of a hotter expert. */
  Displace = "displace",
}

/** One change; `copies` counts the experts whose weights must be loaded. */
export interface Change {
  kind: ChangeKind;
  expert: number;
  from: number;
  to: number;
  /** Expert swapped or displaced; -1 if none. */
  other: number;
  copies: number;
  /** How much lower the highest load of the ranks concerned gets per copy. */
  gainPerCopy: number;
}

/** Ranks looked at as new places of an expert. */
const MAX_TARGET_RANKS = 6;
/**
 * Smallest improvement that is worth looking at, as a share of the load. Below
 * it a plan goes on for long with changes that noise undoes.
 */
const MIN_GAIN_SHARE = 2e-3;

/**
 * The change that lowers the load of the slowest rank most per copy without
 * raising another above it, or `undefined` if there is none. `mayLoad`
 * rules out ranks that may not load a further expert.
 */
export function bestChange(
  plan: layerPlan.LayerPlan,
  slots: number,
  minGainPerCopy: number,
  mayLoad: (rank: number) => boolean = () => true,
): Change | undefined {
  const from = plan.mostLoadedRank;
  const peak = plan.rankLoad[from];
  // Scalars and not objects: thousands are weighed for each that is made.
  let bestKind: ChangeKind | undefined;
  let bestExpert = -1;
  let bestTo = -1;
  let bestOther = -1;
  let bestGain = Math.max(peak * MIN_GAIN_SHARE, minGainPerCopy);
  const targets = plan.leastLoadedRanks(MAX_TARGET_RANKS).filter(mayLoad);
  const maySwap = mayLoad(from);
  for (const expert of plan.expertsOn[from]) {
    const ranks = plan.ranksOf[expert];
    const share = plan.load[expert] / ranks.length;
    const shareAfter = plan.load[expert] / (ranks.length + 1);
    for (const to of targets) {
      if (to === from || ranks.includes(to)) continue;
      const toLoad = plan.rankLoad[to];
      if (plan.expertsOn[to].length < slots) {
        const replicated = Math.max(
          peak - share + shareAfter,
          toLoad + shareAfter,
        );
        const moved = Math.max(peak - share, toLoad + share);
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
            peak - share + otherShare,
            toLoad + share - otherShare,
          );
          // Both experts must be loaded at their new places.
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
          peak - share + shareAfter + (shared ? addedLoad : 0),
          toLoad - otherShare + shareAfter,
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
    copies: bestKind === ChangeKind.Swap ? 2 : 1,
    gainPerCopy: bestGain,
  };
}

/** Whether the other ranks of an expert can take over a removed replica. */
function canAbsorb(
  plan: layerPlan.LayerPlan,
  ranks: number[],
  removed: number,
  addedLoad: number,
  peak: number,
): boolean {
  for (const rank of ranks) {
    if (rank === removed) continue;
    if (plan.rankLoad[rank] + addedLoad >= peak) return false;
  }
  return true;
}

/** Makes a change. */
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
  }
}
