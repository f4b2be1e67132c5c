import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
import * as rankSession from "./rank_session.ts";
import * as switchMap from "./switch_map.ts";

/** Result of a take-over, and what became of a predecessor's switch. */
export type TakeOverOutcome =
  | {
      kind: "ready";
      /** Version of the map that all ranks use. */
      version: number;
      /**
       * What was done with a switch that a predecessor left: completed,
       * cancelled, or ranks with different maps given the newest of them.
       */
      recovered: "nothing" | "finished" | "cancelled" | "unified";
    }
  | {
      kind: "superseded";
      detail: string;
      /** Higher fencing number that a rank promised; 0 if none was reported. */
      promisedFencing: number;
    }
  | { kind: "unreached"; detail: string };

/** Parameters of a take-over. */
export interface TakeOverParameters {
  term: groupTerm.GroupTerm;
  /** Reads a map that an earlier coordinator stored. */
  readMap: (version: number) => Promise<wire.ExpertMap | undefined>;
}

/**
 * Takes over the coordination of a group. First all ranks promise to refuse
 * lower fencing numbers. Then a switch that a predecessor left is completed or
 * cancelled. If any rank has received "go", all ranks get "go", because that
 * rank may already use the map. If none has, the switch is cancelled: as all
 * ranks have promised, the predecessor can no longer order "go" anywhere. If
 * ranks already use different maps and none is armed, all get the newest one.
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
  // Some ranks already use a map that others are still armed for.
  if (armed) return finish(term, newest);
  return unify(parameters, newest);
}

/** Completes a switch after the first "go". */
async function finish(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const outcome = await switchMap.completeArmedSwitch(term, version);
  return outcomeOf(outcome, version, "finished");
}

/** Cancels a switch that no rank has applied, if there is one. */
async function cancelUnfinishedSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<TakeOverOutcome> {
  const isUnfinished = term.states.some(
    (state) => state.armedVersion > 0 || state.stagedVersion > 0 || state.held,
  );
  if (!isUnfinished) return { kind: "ready", version, recovered: "nothing" };
  const anyVersion = Number.MAX_SAFE_INTEGER;
  const failure = await switchMap.cancelSwitchesUpTo(term, anyVersion);
  if (failure) return failedTakeOver(failure);
  return { kind: "ready", version, recovered: "cancelled" };
}

/**
 * Gives all ranks the newest map that any of them uses. For ranks that hold
 * with different maps while none is armed: engines that do not number their
 * iterations, and that a predecessor left with the map applied at some of them.
 * All ranks hold, apply the newest map and are released.
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
