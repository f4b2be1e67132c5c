import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
import * as rankSession from "./rank_session.ts";
import * as switchMap from "./switch_map.ts";

/** What a new coordinator found, and where it left the group. */
export type TakeOverOutcome =
  | {
      kind: "ready";
      /** Version in force on all ranks. */
      version: number;
      /** What was done with a switch that a predecessor left. */
      recovered: "nothing" | "finished" | "cancelled" | "unified";
    }
  | {
      kind: "superseded";
      detail: string;
      /** Fencing number that some rank obeys instead; 0 if none was told. */
      promisedFencing: number;
    }
  | { kind: "unreached"; detail: string };

/** What taking over needs. */
export interface TakeOverParameters {
  term: groupTerm.GroupTerm;
  /** The map of a version, from where its coordinator kept it. */
  readMap: (version: number) => Promise<wire.ExpertMap | undefined>;
}

/**
 * Becomes the coordinator of a group: all ranks promise, so that no lower number
 * can order any of them, and then what a predecessor left is settled. Any "go":
 * go for all, as that rank may already use the map. None, with all ranks having
 * promised: nobody can say go any more, so cancel.
 */
export async function takeOver(
  parameters: TakeOverParameters,
): Promise<TakeOverOutcome> {
  const { term } = parameters;
  const failure = await term.establish();
  if (failure) return failedTakeOver(failure);
  const { states } = term;
  const newestGoVersion = Math.max(...states.map(({ goVersion }) => goVersion));
  const inForce = states.map(({ mapVersion }) => mapVersion);
  const newest = Math.max(...inForce);
  const armed = states.some(({ armedVersion }) => armedVersion === newest);
  if (newestGoVersion > 0) return finish(term, newestGoVersion);
  if (inForce.every((version) => version === newest)) {
    return cancelUnfinishedSwitch(term, newest);
  }
  // Some ranks have applied a map that others are still armed for.
  if (armed) return finish(term, newest);
  return unify(parameters, newest);
}

async function finish(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const outcome = await switchMap.completeArmedSwitch(term, version);
  return outcomeOf(outcome, version, "finished");
}

async function cancelUnfinishedSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const hasUnfinishedSwitch = term.states.some(
    (state) => state.armedVersion > 0 || state.stagedVersion > 0 || state.held,
  );
  if (!hasUnfinishedSwitch)
    return { kind: "ready", version, recovered: "nothing" };
  const anyVersion = Number.MAX_SAFE_INTEGER;
  const failure = await switchMap.cancelSwitchesUpTo(term, anyVersion);
  if (failure) return failedTakeOver(failure);
  return { kind: "ready", version, recovered: "cancelled" };
}

/**
 * Ranks hold with different maps, and no step is armed: engines without step
 * numbers, left half applied. Hold all, give all the newest map, release.
 */
async function unify(
  parameters: TakeOverParameters,
  version: number,
): Promise<TakeOverOutcome> {
  const { term, readMap } = parameters;
  const { group, fencing } = term;
  const map = await readMap(version);
  if (!map) return { kind: "unreached", detail: `no map ${version} to apply` };
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const stage = { kind: wire.OrderKind.Stage, group, fencing, map } as const;
  for (const order of [hold, stage]) {
    const failure = await term.orderAllUntilFinal(order);
    if (failure) return failedTakeOver(failure);
  }
  const outcome = await switchMap.completeHeldSwitch(term, version);
  return outcomeOf(outcome, version, "unified");
}

function failedTakeOver(reply: rankSession.RankReply): TakeOverOutcome {
  if (reply.done) return { kind: "unreached", detail: "" };
  const { detail, promisedFencing } = reply;
  return rankSession.isSuperseded(reply)
    ? { kind: "superseded", detail, promisedFencing }
    : { kind: "unreached", detail };
}

function outcomeOf(
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
    case switchMap.SwitchOutcomeKind.Cancelled:
    case switchMap.SwitchOutcomeKind.Unfinished:
      return { kind: "unreached", detail };
  }
}
