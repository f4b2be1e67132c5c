import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
import * as rankSession from "./rank_session.ts";
import * as switchMap from "./switch_map.ts";

/** Outcome of a take-over, and what became of a predecessor's switch. */
export type TakeOverOutcome =
  | {
      kind: "ready";
      /** Version of the map that all ranks use. */
      version: number;
      /**
       * What the take-over did about a switch that a predecessor left:
       * "nothing" if there was none; "finished" if it completed the switch;
       * "cancelled" if it cancelled the switch; "unified" if ranks used
       * different maps and it gave all ranks the newest of these maps.
       */
      recovered: "nothing" | "finished" | "cancelled" | "unified";
    }
  | {
      kind: "superseded";
      detail: string;
      /** Fencing number that a rank has promised; 0 if none was reported. */
      promisedFencing: number;
    }
  /**
   * A rank did not confirm an order, a map could not be read, or the
   * coordinator stopped. The group is not taken over yet.
   */
  | { kind: "unreached"; detail: string };

/** Parameters of a take-over. */
export interface TakeOverParameters {
  term: groupTerm.GroupTerm;
  /** Reads a map that an earlier coordinator stored. */
  readMap: (version: number) => Promise<wire.ExpertMap | undefined>;
}

/**
 * Takes over the coordination of a group. First all ranks promise to refuse
 * orders with a fencing number lower than the term's. Then the new coordinator
 * deals with a switch that a predecessor left. A rank that is armed for an
 * iteration holds before that iteration until it receives "go" (see
 * `switchMap.SwitchMode`).
 *
 * - If a rank reports that it has received "go", the coordinator orders "go" at
 *   all ranks, because that rank may already use the map.
 * - If no rank reports "go" and all use the same map, the coordinator cancels
 *   the switch. As all ranks have promised, the predecessor can no longer order
 *   "go" anywhere.
 * - If ranks use different maps and some rank is armed for the newest of them,
 *   the coordinator orders "go" at all ranks. A rank that uses this map has
 *   received "go", but may no longer report it.
 * - If ranks use different maps and no rank is armed for the newest of them,
 *   the coordinator gives all ranks this map.
 */
export async function takeOver(
  parameters: TakeOverParameters,
): Promise<TakeOverOutcome> {
  const { term } = parameters;
  const failedReply = await term.establish();
  if (failedReply) return failedTakeOver(failedReply);
  const { states } = term;
  // 0 if no rank reports that it has received "go".
  const newestGoVersion = Math.max(...states.map(({ goVersion }) => goVersion));
  const mapVersions = states.map(({ mapVersion }) => mapVersion);
  const newestMapVersion = Math.max(...mapVersions);
  const isArmedForNewest = states.some(
    ({ armedVersion }) => armedVersion === newestMapVersion,
  );
  if (newestGoVersion > 0) return completeSwitch(term, newestGoVersion);
  if (mapVersions.every((version) => version === newestMapVersion)) {
    return cancelUnfinishedSwitch(term, newestMapVersion);
  }
  // Some ranks already use the newest map, and others are still armed for it.
  if (isArmedForNewest) return completeSwitch(term, newestMapVersion);
  return unify(parameters, newestMapVersion);
}

/** Completes a switch in which some rank has already received "go". */
async function completeSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const outcome = await switchMap.completeArmedSwitch(term, version);
  return takeOverOutcomeOf(outcome, version, "finished");
}

/**
 * Cancels a switch whose map no rank uses yet, if there is one. Ranks that hold
 * are released.
 */
async function cancelUnfinishedSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const isUnfinished = term.states.some(
    (state) => state.armedVersion > 0 || state.stagedVersion > 0 || state.held,
  );
  if (!isUnfinished) return { kind: "ready", version, recovered: "nothing" };
  const anyVersion = Number.MAX_SAFE_INTEGER;
  const failedReply = await switchMap.cancelSwitchesUpTo(term, anyVersion);
  if (failedReply) return failedTakeOver(failedReply);
  return { kind: "ready", version, recovered: "cancelled" };
}

/**
 * Gives all ranks the newest map that any of them uses. This is needed if a
 * predecessor stopped in a switch of engines that do not number their
 * iterations, after some ranks had applied the new map. The ranks then hold
 * with different maps, and none is armed. The coordinator orders all ranks to
 * hold, including those that hold already, because `completeHeldSwitch`
 * requires that all have accepted this order. Then all ranks stage and apply
 * the newest map and are released.
 */
async function unify(
  parameters: TakeOverParameters,
  version: number,
): Promise<TakeOverOutcome> {
  const { term, readMap } = parameters;
  const { group, fencing } = term;
  const map = await readMap(version);
  if (!map)
    return {
      kind: "unreached",
      detail: `map ${version} could not be read from the map store`,
    };
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const stage = { kind: wire.OrderKind.Stage, group, fencing, map } as const;
  for (const order of [hold, stage]) {
    const failedReply = await term.orderAllUntilFinal(order);
    if (failedReply) return failedTakeOver(failedReply);
  }
  const outcome = await switchMap.completeHeldSwitch(term, version);
  return takeOverOutcomeOf(outcome, version, "unified");
}

/**
 * Outcome of a take-over in which an order failed. Callers pass the replies to
 * failed orders only, so `done` is never true here.
 */
function failedTakeOver(reply: rankSession.RankReply): TakeOverOutcome {
  if (reply.done) return { kind: "unreached", detail: "" };
  const { detail, promisedFencing } = reply;
  return rankSession.isSuperseded(reply)
    ? { kind: "superseded", detail, promisedFencing }
    : { kind: "unreached", detail };
}

/** Outcome of a take-over that depended on the outcome of a switch. */
function takeOverOutcomeOf(
  outcome: switchMap.SwitchOutcome,
  version: number,
  recovered: "finished" | "unified",
): TakeOverOutcome {
  const { detail } = outcome;
  switch (outcome.kind) {
    case switchMap.SwitchOutcomeKind.Committed:
      return { kind: "ready", version, recovered };
    case switchMap.SwitchOutcomeKind.Superseded:
      return {
        kind: "superseded",
        detail,
        promisedFencing: outcome.promisedFencing,
      };
    // The functions that complete a switch never return `Cancelled`.
    case switchMap.SwitchOutcomeKind.Cancelled:
    case switchMap.SwitchOutcomeKind.Unfinished:
      return { kind: "unreached", detail };
  }
}
