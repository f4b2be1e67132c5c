import * as wire from "@geraniumkeel/wire";
import type * as rankSession from "./rank_session.ts";
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
  | { kind: "superseded"; detail: string }
  | { kind: "unreached"; detail: string };

/** What taking over needs. */
export interface TakeOverParameters {
  group: string;
  fencing: number;
  sessions: rankSession.RankSession[];
  signal: AbortSignal;
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
  const { sessions } = parameters;
  const promises = await Promise.all(sessions.map((one) => one.promise()));
  const failure = switchMap.firstFailure(promises);
  if (failure && !failure.done) {
    const { detail } = failure;
    const superseded = switchMap.isSuperseded(failure);
    return { kind: superseded ? "superseded" : "unreached", detail };
  }
  const states = sessions.flatMap(({ state }) => state ?? []);
  const going = Math.max(...states.map(({ goVersion }) => goVersion));
  const inForce = states.map(({ mapVersion }) => mapVersion);
  const newest = Math.max(...inForce);
  const armed = states.some(({ armedVersion }) => armedVersion === newest);
  if (going > 0) {
    return finish(parameters, going, "finished");
  }
  if (inForce.every((version) => version === newest)) {
    return cancelLeft(parameters, newest, states);
  }
  // Some ranks have applied a map that others are still armed for.
  if (armed) return finish(parameters, newest, "finished");
  return unify(parameters, newest);
}

async function finish(
  parameters: TakeOverParameters,
  version: number,
  recovered: "finished",
): Promise<TakeOverOutcome> {
  const outcome = await switchMap.finishGo(parameters, version);
  return outcomeOf(outcome, version, recovered);
}

async function cancelLeft(
  parameters: TakeOverParameters,
  version: number,
  states: wire.RankState[],
): Promise<TakeOverOutcome> {
  const left = states.some(
    (state) => state.armedVersion > 0 || state.stagedVersion > 0 || state.held,
  );
  if (!left) return { kind: "ready", version, recovered: "nothing" };
  const failure = await switchMap.cancelAll(
    parameters,
    Number.MAX_SAFE_INTEGER,
  );
  if (failure && !failure.done) {
    const { detail } = failure;
    const superseded = switchMap.isSuperseded(failure);
    return { kind: superseded ? "superseded" : "unreached", detail };
  }
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
  const { group, fencing, sessions, signal } = parameters;
  const map = await parameters.readMap(version);
  if (!map) return { kind: "unreached", detail: `no map ${version} to apply` };
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const stage = { kind: wire.OrderKind.Stage, group, fencing, map } as const;
  for (const order of [hold, stage]) {
    const replies = await Promise.all(
      sessions.map((one) => one.insist(order, signal)),
    );
    const failure = switchMap.firstFailure(replies);
    if (failure && !failure.done) {
      const superseded = switchMap.isSuperseded(failure);
      const kind = superseded ? "superseded" : "unreached";
      return { kind, detail: failure.detail };
    }
  }
  const outcome = await switchMap.finishHeld(parameters, version);
  return outcomeOf(outcome, version, "unified");
}

function outcomeOf(
  outcome: switchMap.SwitchOutcome,
  version: number,
  recovered: "finished" | "unified",
): TakeOverOutcome {
  const { detail } = outcome;
  switch (outcome.kind) {
    case switchMap.SwitchKind.Committed:
      return { kind: "ready", version, recovered };
    case switchMap.SwitchKind.Superseded:
      return { kind: "superseded", detail };
    case switchMap.SwitchKind.Cancelled:
    case switchMap.SwitchKind.Unfinished:
      return { kind: "unreached", detail };
  }
}
