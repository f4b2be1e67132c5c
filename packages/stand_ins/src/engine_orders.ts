import * as wire from "@geraniumkeel/wire";
import * as engineGroup from "./engine_group.ts";
import type * as engineRank from "./engine_rank.ts";

/** Answer to an order: the rank's state, or why it was refused. */
export type EngineOrderAnswer =
  { state: wire.RankState } | { refusal: wire.OrderRefusal };

/** Carries out an order at a rank's engine. */
export function takeOrder(
  rank: engineRank.EngineRank,
  order: wire.EngineOrder,
): EngineOrderAnswer {
  const { options, step } = rank.parameters.group;
  if (options.checksFencing) {
    if (order.fencing < rank.fencing) {
      return { refusal: wire.OrderRefusal.OldFencing };
    }
    rank.fencing = order.fencing;
  }
  switch (order.kind) {
    case wire.OrderKind.Promise:
      break;
    case wire.OrderKind.Stage:
      if (order.map.version < newestVersion(rank)) {
        return { refusal: wire.OrderRefusal.NotStaged };
      }
      rank.staged = order.map;
      rank.armed = undefined;
      break;
    case wire.OrderKind.Arm:
      if (!options.numbersSteps) {
        return { refusal: wire.OrderRefusal.Unsupported };
      }
      if (rank.staged?.version !== order.version) {
        return { refusal: wire.OrderRefusal.NotStaged };
      }
      if (step >= order.step) return { refusal: wire.OrderRefusal.StepPassed };
      rank.armed = { version: order.version, step: order.step, go: false };
      break;
    case wire.OrderKind.Go:
      if (rank.map.version === order.version) break;
      if (rank.armed?.version !== order.version) {
        return { refusal: wire.OrderRefusal.NotStaged };
      }
      rank.armed.go = true;
      break;
    case wire.OrderKind.Cancel:
      // A cancel of an older switch that comes late must not undo a newer one.
      if (order.version < newestVersion(rank)) break;
      rank.armed = undefined;
      rank.staged = undefined;
      rank.heldByOrder = false;
      break;
    case wire.OrderKind.Hold:
      rank.heldByOrder = true;
      break;
    case wire.OrderKind.Apply:
      if (rank.map.version === order.version) break;
      if (!rank.heldByOrder || rank.staged?.version !== order.version) {
        return { refusal: wire.OrderRefusal.NotStaged };
      }
      // Told to hold, but its step has not ended: that step gets two maps.
      if (!rank.held) rank.parameters.group.history.mixedSteps++;
      rank.applyStaged();
      break;
    case wire.OrderKind.Release:
      rank.heldByOrder = false;
      break;
    case wire.OrderKind.Inspect:
      return { state: inspect(rank) };
  }
  return { state: engineGroup.stateOf(rank) };
}

/** Newest version that is staged or armed. */
function newestVersion(rank: engineRank.EngineRank): number {
  return Math.max(rank.staged?.version ?? 0, rank.armed?.version ?? 0);
}

/** State with the expert counts since the last look, which start again. */
function inspect(rank: engineRank.EngineRank): wire.RankState {
  const state = engineGroup.stateOf(rank);
  const own = rank.parameters.rank;
  const expertTokens = rank.map.places.map((layer, index) =>
    layer.flatMap((ranks, expert): wire.ExpertCount[] =>
      ranks.includes(own) ? [[expert, rank.expertTokens[index][expert]]] : [],
    ),
  );
  for (const layer of rank.expertTokens) layer.fill(0);
  return { ...state, expertTokens };
}
