import type * as expertMap from "./expert_map.ts";
import type * as mapChanges from "./map_changes.ts";

/** Orders of a group's coordinator to its ranks, by way of their agents. */
export enum OrderKind {
  /** Promise to refuse every lower fencing number. */
  Promise = 1,
  Stage = 2,
  Arm = 3,
  Go = 4,
  Cancel = 5,
  /** Hold at once; for engines without step numbers. */
  Hold = 6,
  Apply = 7,
  Release = 8,
  /** Ask for the expert load seen since the last one. */
  Inspect = 9,
  /** Stage a map told by its changes; agents make it a `Stage`. */
  StageChanges = 10,
}

/** What is ordered. `fencing` orders coordinators, never clocks. */
export type Order =
  | { kind: OrderKind.Promise; group: string; fencing: number }
  | {
      kind: OrderKind.Stage;
      group: string;
      fencing: number;
      map: expertMap.ExpertMap;
    }
  | {
      kind: OrderKind.Arm;
      group: string;
      fencing: number;
      version: number;
      step: number;
    }
  | { kind: OrderKind.Go; group: string; fencing: number; version: number }
  | {
      kind: OrderKind.Cancel;
      group: string;
      fencing: number;
      /** Newest version to be given up; a newer one stays. */
      version: number;
    }
  | { kind: OrderKind.Hold; group: string; fencing: number }
  | { kind: OrderKind.Apply; group: string; fencing: number; version: number }
  | { kind: OrderKind.Release; group: string; fencing: number }
  | { kind: OrderKind.Inspect; group: string; fencing: number }
  | {
      kind: OrderKind.StageChanges;
      group: string;
      fencing: number;
      changes: mapChanges.MapChanges;
    };

/** What an engine is ordered; the rest is between coordinator and agent. */
export type EngineOrder = Exclude<Order, { kind: OrderKind.StageChanges }>;

/** An expert that a rank holds, and the tokens it has had since last asked. */
export type ExpertCount = [expert: number, tokens: number];

/** State of one rank's engine as read back from it. */
export interface RankState {
  step: number;
  mapVersion: number;
  stagedVersion: number;
  armedVersion: number;
  armedStep: number;
  goVersion: number;
  held: boolean;
  /**
   * Experts held, by layer, with their tokens since the last `Inspect`. Only the
   * rank's own: all counts of all ranks would be fifty times as much at 64 ranks.
   */
  expertTokens: ExpertCount[][];
}

/** Why an order was not carried out. */
export enum OrderRefusal {
  OldFencing = "old-fencing",
  OldIncarnation = "old-incarnation",
  StepPassed = "step-passed",
  NotStaged = "not-staged",
  NotPromised = "not-promised",
  EngineFailed = "engine-failed",
  Unsupported = "unsupported",
  /** The agent lacks the map that changes are based on. */
  UnknownBase = "unknown-base",
}

/** Answer to an order. */
export type OrderAnswer =
  | { done: true; state: RankState }
  | { done: false; refusal: OrderRefusal; fencing: number };
