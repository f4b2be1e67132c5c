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
}

/** Ranks looked at as new places of an expert. */
const TARGETS = 6;
/**
 * Smallest improvement that is worth looking at, as a share of the load. Below
 * it a plan goes on for long with changes that noise undoes.
 */
const SMALLEST_GAIN = 2e-3;

/**
 * The change that lowers the load of the slowest rank most per copy without
 * raising another above it, or `undefined` if there is none.
 */
export function bestChange(
  plan: layerPlan.LayerPlan,
  slots: number,
  smallestGain: number,
): Change | undefined {
  const from = plan.slowestRank;
  const peak = plan.rankLoad[from];
  let best: Change | undefined;
  let bestGain = Math.max(peak * SMALLEST_GAIN, smallestGain);
  const consider = (change: Change, fromAfter: number, toAfter: number) => {
    const gain = (peak - Math.max(fromAfter, toAfter)) / change.copies;
    if (gain <= bestGain) return;
    bestGain = gain;
    best = change;
  };
  const targets = plan.lightest(TARGETS);
  for (const expert of plan.expertsOn[from]) {
    const ranks = plan.ranksOf[expert];
    const share = plan.share(expert);
    const shareAfter = plan.load[expert] / (ranks.length + 1);
    for (const to of targets) {
      if (to === from || ranks.includes(to)) continue;
      const toLoad = plan.rankLoad[to];
      const free = plan.expertsOn[to].length < slots;
      const base = { expert, from, to };
      if (free) {
        consider(
          { ...base, kind: ChangeKind.Replicate, other: -1, copies: 1 },
          peak - share + shareAfter,
          toLoad + shareAfter,
        );
        consider(
          { ...base, kind: ChangeKind.Move, other: -1, copies: 1 },
          peak - share,
          toLoad + share,
        );
        continue;
      }
      for (const other of plan.expertsOn[to]) {
        const otherRanks = plan.ranksOf[other];
        const otherShare = plan.share(other);
        if (!otherRanks.includes(from)) {
          consider(
            { ...base, kind: ChangeKind.Swap, other, copies: 2 },
            peak - share + otherShare,
            toLoad + share - otherShare,
          );
        }
        if (otherRanks.length < 2) continue;
        const burden = otherShare / (otherRanks.length - 1);
        if (!canBear(plan, otherRanks, to, burden, peak)) continue;
        const fromBurden = otherRanks.includes(from) ? burden : 0;
        consider(
          { ...base, kind: ChangeKind.Displace, other, copies: 1 },
          peak - share + shareAfter + fromBurden,
          toLoad - otherShare + shareAfter,
        );
      }
    }
  }
  return best;
}

/** Whether the other ranks of an expert can take over a removed replica. */
function canBear(
  plan: layerPlan.LayerPlan,
  ranks: number[],
  removed: number,
  burden: number,
  peak: number,
): boolean {
  for (const rank of ranks) {
    if (rank !== removed && plan.rankLoad[rank] + burden >= peak) return false;
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
