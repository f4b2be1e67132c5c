import * as wire from "@geraniumkeel/wire";
import * as rankSession from "./rank_session.ts";

/** How a switch ended. */
export enum SwitchKind {
  Committed = "committed",
  /** All ranks keep the map they had. */
  Cancelled = "cancelled",
  /** Another coordinator has taken over. */
  Superseded = "superseded",
  /** Not finished; a successor will settle it. */
  Unfinished = "unfinished",
}

/** How a switch ended and why. */
export interface SwitchOutcome {
  kind: SwitchKind;
  detail: string;
}

/** How engines of a group take a new map. */
export enum SwitchMode {
  /** "At step S, hold unless told go." */
  AtStep = "at-step",
  /** Hold all, apply, release; for engines without step numbers. */
  HoldAll = "hold-all",
}

/** What a switch needs. */
export interface SwitchParameters {
  group: string;
  fencing: number;
  sessions: rankSession.RankSession[];
  map: wire.ExpertMap;
  mode: SwitchMode;
  /** Steps between arming and the switch. */
  leadSteps: number;
  signal: AbortSignal;
}

/**
 * Switches a group to a new expert map so that no step ever runs with two. Every
 * step needs all ranks, so the unanimity of their agents is agreement enough,
 * with no store on the way.
 */
export async function switchMap(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { group, fencing, map } = parameters;
  const kind = wire.OrderKind.Stage;
  const staged = await giveAll(parameters, { kind, group, fencing, map });
  if (staged) return cancel(parameters, staged);
  switch (parameters.mode) {
    case SwitchMode.AtStep:
      return switchAtStep(parameters);
    case SwitchMode.HoldAll:
      return switchHolding(parameters);
  }
}

async function switchAtStep(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { group, fencing, sessions, map, leadSteps } = parameters;
  const { version } = map;
  const steps = sessions.map(({ state }) => state?.step ?? 0);
  const step = Math.max(...steps) + leadSteps;
  const kind = wire.OrderKind.Arm;
  const arm = { kind, group, fencing, version, step } as const;
  const refused = await giveAll(parameters, arm);
  // A rank whose answer is unknown may have armed, and would hold: until all
  // have armed for certain, giving up is still possible, and is done.
  if (refused) return cancel(parameters, refused);
  return finishGo(parameters, version);
}

/**
 * From the first "go" there is no way back: some rank may already use the map.
 * Ranks without it hold at the step, so lateness costs time and never a step
 * with two maps.
 */
export async function finishGo(
  parameters: Omit<SwitchParameters, "map" | "mode" | "leadSteps">,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = parameters;
  const kind = wire.OrderKind.Go;
  const go = { kind, group, fencing, version } as const;
  const failure = await insistAll(parameters, go);
  if (failure) return unfinished(failure);
  return { kind: SwitchKind.Committed, detail: `version ${version}` };
}

async function switchHolding(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { group, fencing, map } = parameters;
  const { version } = map;
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const notHeld = await giveAll(parameters, hold);
  if (notHeld) return cancel(parameters, notHeld);
  return finishHeld(parameters, version);
}

/** All ranks hold: apply one map everywhere, and only then release. */
export async function finishHeld(
  parameters: Omit<SwitchParameters, "map" | "mode" | "leadSteps">,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = parameters;
  const kind = wire.OrderKind.Apply;
  const apply = { kind, group, fencing, version } as const;
  const notApplied = await insistAll(parameters, apply);
  if (notApplied) return unfinished(notApplied);
  const release = { kind: wire.OrderKind.Release, group, fencing } as const;
  const notReleased = await insistAll(parameters, release);
  if (notReleased) return unfinished(notReleased);
  return { kind: SwitchKind.Committed, detail: `version ${version}` };
}

/** Gives up: every rank drops what was staged or armed. */
async function cancel(
  parameters: SwitchParameters,
  reason: rankSession.RankReply,
): Promise<SwitchOutcome> {
  const detail = describe(reason);
  if (isSuperseded(reason)) return { kind: SwitchKind.Superseded, detail };
  const failure = await cancelAll(parameters, parameters.map.version);
  if (failure) return unfinished(failure);
  return { kind: SwitchKind.Cancelled, detail };
}

/** Has all ranks drop switches up to a version. */
export async function cancelAll(
  parameters: Omit<SwitchParameters, "map" | "mode" | "leadSteps">,
  version: number,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = parameters;
  const kind = wire.OrderKind.Cancel;
  return insistAll(parameters, { kind, group, fencing, version });
}

/** Gives an order to all once; the first failure, if any. */
async function giveAll(
  parameters: Pick<SwitchParameters, "sessions">,
  order: wire.Order,
): Promise<rankSession.RankReply | undefined> {
  const { sessions } = parameters;
  const replies = await Promise.all(sessions.map((one) => one.give(order)));
  return firstFailure(replies);
}

async function insistAll(
  parameters: Pick<SwitchParameters, "sessions" | "signal">,
  order: wire.Order,
): Promise<rankSession.RankReply | undefined> {
  const { sessions, signal } = parameters;
  const replies = await Promise.all(
    sessions.map((one) => one.insist(order, signal)),
  );
  return firstFailure(replies);
}

/** Being superseded outweighs any other failure. */
export function firstFailure(
  replies: rankSession.RankReply[],
): rankSession.RankReply | undefined {
  const failures = replies.filter((reply) => !reply.done);
  return failures.find(isSuperseded) ?? failures[0];
}

/** Whether a reply tells that another coordinator has taken over. */
export function isSuperseded(reply: rankSession.RankReply): boolean {
  return !reply.done && reply.failure === rankSession.RankFailure.Superseded;
}

function unfinished(reason: rankSession.RankReply): SwitchOutcome {
  const kind = isSuperseded(reason)
    ? SwitchKind.Superseded
    : SwitchKind.Unfinished;
  return { kind, detail: describe(reason) };
}

function describe(reply: rankSession.RankReply): string {
  return reply.done ? "done" : `${reply.failure}: ${reply.detail}`;
}
