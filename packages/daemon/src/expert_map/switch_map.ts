import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
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
  /** Fencing number that some rank obeys instead; 0 if none was told. */
  promised: number;
}

/** How engines of a group take a new map. */
export enum SwitchMode {
  /** "At step S, hold unless told go." */
  AtStep = "at-step",
  /** Hold all, apply, release; for engines without step numbers. */
  HoldAll = "hold-all",
}

/**
 * Rounds of orders that must fit in before the step: "arm" and "go", and half of
 * one to spare. Staging was such a round; with late messages a fixed lead would
 * let the step come first, and the group would hold for the rest.
 */
const ROUNDS_AHEAD = 3;
/** Bound of the lead, for a group that stepped on while one rank was slow. */
const MOST_LEAD_STEPS = 1_000;

/** What a switch needs. */
export interface SwitchParameters {
  /** An established term. */
  term: groupTerm.GroupTerm;
  map: wire.ExpertMap;
  /** The map told by its changes, if what is in force is known. */
  changes?: wire.MapChanges;
  mode: SwitchMode;
  /** Steps between arming and the switch at least. */
  leadSteps: number;
}

/**
 * Switches a group to a new expert map so that no step ever runs with two. Every
 * step needs all ranks, so the unanimity of their agents is agreement enough,
 * with no store on the way.
 */
export async function switchMap(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { term, map, changes } = parameters;
  const stepBefore = newestStep(term);
  const notStaged = await term.stage({ map, changes });
  if (notStaged) return cancel(parameters, notStaged);
  switch (parameters.mode) {
    case SwitchMode.AtStep: {
      const passed = newestStep(term) - stepBefore;
      return switchAtStep(parameters, passed);
    }
    case SwitchMode.HoldAll:
      return switchHolding(parameters);
  }
}

async function switchAtStep(
  parameters: SwitchParameters,
  stepsWhileStaging: number,
): Promise<SwitchOutcome> {
  const { term, map, leadSteps } = parameters;
  const { group, fencing } = term;
  const { version } = map;
  const lead = Math.max(leadSteps, ROUNDS_AHEAD * stepsWhileStaging);
  const step = newestStep(term) + Math.min(lead, MOST_LEAD_STEPS);
  const kind = wire.OrderKind.Arm;
  const notArmed = await term.giveAll({ kind, group, fencing, version, step });
  // A rank whose answer is unknown may have armed, and would hold: until all
  // have armed for certain, giving up is still possible, and is done.
  if (notArmed) return cancel(parameters, notArmed);
  return finishGo(term, version);
}

/**
 * From the first "go" there is no way back: some rank may already use the map.
 * Ranks without it hold at the step, so lateness costs time and never a step
 * with two maps.
 */
export async function finishGo(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Go;
  const failure = await term.insistAll({ kind, group, fencing, version });
  if (failure) return unfinished(failure);
  return awaitApplied(term, version);
}

/**
 * The step to switch at may still be ahead, far ahead if a rank stalls. A next
 * map staged by then would take the place of this one on some ranks only.
 */
async function awaitApplied(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const failure = await awaitAll(
    term,
    (state) => state.mapVersion === version,
    () => term.pause(),
  );
  if (failure) return unfinished(failure);
  return {
    kind: SwitchKind.Committed,
    promised: 0,
    detail: `version ${version}`,
  };
}

/** Looks at all ranks until each is in a state; the failure if that ends. */
async function awaitAll(
  term: groupTerm.GroupTerm,
  condition: (state: wire.RankState) => boolean,
  pause: () => Promise<void>,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const look = { kind: wire.OrderKind.Promise, group, fencing } as const;
  for (;;) {
    const failure = await term.insistAll(look);
    if (failure || term.states.every(condition)) return failure;
    await pause();
  }
}

/** Newest step that any rank has told. */
function newestStep(term: groupTerm.GroupTerm): number {
  return Math.max(...term.states.map(({ step }) => step));
}

async function switchHolding(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { term, map } = parameters;
  const { group, fencing } = term;
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const notHeld = await term.giveAll(hold);
  if (notHeld) return cancel(parameters, notHeld);
  return finishHeld(term, map.version);
}

/**
 * All ranks are to hold: apply one map everywhere, and only then release. A rank
 * says yes to "hold" at once and may be in the middle of a step; given the map
 * then, it would end that step with another map than it began. Only when all say
 * that they are at rest is no step under way anywhere in the group.
 */
export async function finishHeld(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = term;
  const notAtRest = await awaitAll(
    term,
    ({ held }) => held,
    () => term.pauseWhileHolding(),
  );
  if (notAtRest) return unfinished(notAtRest);
  const kind = wire.OrderKind.Apply;
  const notApplied = await term.insistAll({ kind, group, fencing, version });
  if (notApplied) return unfinished(notApplied);
  const release = { kind: wire.OrderKind.Release, group, fencing } as const;
  const notReleased = await term.insistAll(release);
  if (notReleased) return unfinished(notReleased);
  return {
    kind: SwitchKind.Committed,
    promised: 0,
    detail: `version ${version}`,
  };
}

/** Gives up: every rank drops what was staged or armed. */
async function cancel(
  parameters: SwitchParameters,
  reason: rankSession.RankReply,
): Promise<SwitchOutcome> {
  const { term, map } = parameters;
  const detail = describe(reason);
  if (rankSession.isSuperseded(reason)) {
    return {
      kind: SwitchKind.Superseded,
      detail,
      promised: promisedOf(reason),
    };
  }
  const failure = await cancelAll(term, map.version);
  if (failure) return unfinished(failure);
  return { kind: SwitchKind.Cancelled, detail, promised: 0 };
}

/** Has all ranks drop switches up to a version. */
export async function cancelAll(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Cancel;
  return term.insistAll({ kind, group, fencing, version });
}

function unfinished(reason: rankSession.RankReply): SwitchOutcome {
  const kind = rankSession.isSuperseded(reason)
    ? SwitchKind.Superseded
    : SwitchKind.Unfinished;
  return { kind, detail: describe(reason), promised: promisedOf(reason) };
}

function promisedOf(reply: rankSession.RankReply): number {
  return reply.done ? 0 : reply.promised;
}

function describe(reply: rankSession.RankReply): string {
  return reply.done ? "done" : `${reply.failure}: ${reply.detail}`;
}
