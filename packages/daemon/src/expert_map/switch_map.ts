import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
import * as rankSession from "./rank_session.ts";

/** How a switch ended. */
export enum SwitchOutcomeKind {
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
  kind: SwitchOutcomeKind;
  detail: string;
  /** Fencing number that some rank obeys instead; 0 if none was told. */
  promisedFencing: number;
}

/** How engines of a group take a new map. */
export enum SwitchMode {
  /** "At step S, hold unless told go." */
  AtIteration = "at-step",
  /** Hold all, apply, release; for engines without step numbers. */
  HoldAll = "hold-all",
}

/**
 * Rounds of orders that must fit in before the step: "arm" and "go", and half of
 * one to spare. Staging was such a round; with late messages a fixed lead would
 * let the step come first, and the group would hold for the rest.
 */
const LEAD_ORDER_ROUNDS = 3;
/** Bound of the lead, for a group that stepped on while one rank was slow. */
const MAX_LEAD_ITERATIONS = 1_000;

/** What a switch needs. */
export interface SwitchParameters {
  /** An established term. */
  term: groupTerm.GroupTerm;
  map: wire.ExpertMap;
  /** The map told by its changes, if what is in force is known. */
  changes?: wire.MapChanges;
  mode: SwitchMode;
  /** Steps between arming and the switch at least. */
  minLeadIterations: number;
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
  const iterationBefore = newestIteration(term);
  const notStaged = await term.stage({ map, changes });
  if (notStaged) return cancelSwitch(parameters, notStaged);
  switch (parameters.mode) {
    case SwitchMode.AtIteration: {
      const iterationsWhileStaging = newestIteration(term) - iterationBefore;
      return switchAtIteration(parameters, iterationsWhileStaging);
    }
    case SwitchMode.HoldAll:
      return switchWhileHolding(parameters);
  }
}

async function switchAtIteration(
  parameters: SwitchParameters,
  iterationsWhileStaging: number,
): Promise<SwitchOutcome> {
  const { term, map, minLeadIterations } = parameters;
  const { group, fencing } = term;
  const { version } = map;
  const leadIterations = Math.max(
    minLeadIterations,
    LEAD_ORDER_ROUNDS * iterationsWhileStaging,
  );
  const step =
    newestIteration(term) + Math.min(leadIterations, MAX_LEAD_ITERATIONS);
  const kind = wire.OrderKind.Arm;
  const notArmed = await term.orderAll({ kind, group, fencing, version, step });
  // A rank whose answer is unknown may have armed, and would hold: until all
  // have armed for certain, giving up is still possible, and is done.
  if (notArmed) return cancelSwitch(parameters, notArmed);
  return completeArmedSwitch(term, version);
}

/**
 * From the first "go" there is no way back: some rank may already use the map.
 * Ranks without it hold at the step, so lateness costs time and never a step
 * with two maps.
 */
export async function completeArmedSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Go;
  const failure = await term.orderAllUntilFinal({
    kind,
    group,
    fencing,
    version,
  });
  if (failure) return failedOutcome(failure);
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
  const failure = await awaitAllRanks(
    term,
    (state) => state.mapVersion === version,
    () => term.pause(),
  );
  if (failure) return failedOutcome(failure);
  return {
    kind: SwitchOutcomeKind.Committed,
    promisedFencing: 0,
    detail: `version ${version}`,
  };
}

/** Looks at all ranks until each is in a state; the failure if that ends. */
async function awaitAllRanks(
  term: groupTerm.GroupTerm,
  condition: (state: wire.RankState) => boolean,
  pause: () => Promise<void>,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const readState = { kind: wire.OrderKind.Promise, group, fencing } as const;
  for (;;) {
    const failure = await term.orderAllUntilFinal(readState);
    if (failure || term.states.every(condition)) return failure;
    await pause();
  }
}

/** Newest step that any rank has told. */
function newestIteration(term: groupTerm.GroupTerm): number {
  return Math.max(...term.states.map(({ step }) => step));
}

async function switchWhileHolding(
  parameters: SwitchParameters,
): Promise<SwitchOutcome> {
  const { term, map } = parameters;
  const { group, fencing } = term;
  const hold = { kind: wire.OrderKind.Hold, group, fencing } as const;
  const notHeld = await term.orderAll(hold);
  if (notHeld) return cancelSwitch(parameters, notHeld);
  return completeHeldSwitch(term, map.version);
}

/**
 * All ranks are to hold: apply one map everywhere, and only then release. A rank
 * says yes to "hold" at once and may be in the middle of a step; given the map
 * then, it would end that step with another map than it began. Only when all say
 * that they are at rest is no step under way anywhere in the group.
 */
export async function completeHeldSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = term;
  const notAtRest = await awaitAllRanks(
    term,
    ({ held }) => held,
    () => term.pauseWhileHolding(),
  );
  if (notAtRest) return failedOutcome(notAtRest);
  const kind = wire.OrderKind.Apply;
  const notApplied = await term.orderAllUntilFinal({
    kind,
    group,
    fencing,
    version,
  });
  if (notApplied) return failedOutcome(notApplied);
  const release = { kind: wire.OrderKind.Release, group, fencing } as const;
  const notReleased = await term.orderAllUntilFinal(release);
  if (notReleased) return failedOutcome(notReleased);
  return {
    kind: SwitchOutcomeKind.Committed,
    promisedFencing: 0,
    detail: `version ${version}`,
  };
}

/** Gives up: every rank drops what was staged or armed. */
async function cancelSwitch(
  parameters: SwitchParameters,
  reason: rankSession.RankReply,
): Promise<SwitchOutcome> {
  const { term, map } = parameters;
  const detail = describe(reason);
  if (rankSession.isSuperseded(reason)) {
    return {
      kind: SwitchOutcomeKind.Superseded,
      detail,
      promisedFencing: promisedFencingOf(reason),
    };
  }
  const failure = await cancelSwitchesUpTo(term, map.version);
  if (failure) return failedOutcome(failure);
  return { kind: SwitchOutcomeKind.Cancelled, detail, promisedFencing: 0 };
}

/** Has all ranks drop switches up to a version. */
export async function cancelSwitchesUpTo(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Cancel;
  return term.orderAllUntilFinal({ kind, group, fencing, version });
}

function failedOutcome(reason: rankSession.RankReply): SwitchOutcome {
  const kind = rankSession.isSuperseded(reason)
    ? SwitchOutcomeKind.Superseded
    : SwitchOutcomeKind.Unfinished;
  return {
    kind,
    detail: describe(reason),
    promisedFencing: promisedFencingOf(reason),
  };
}

function promisedFencingOf(reply: rankSession.RankReply): number {
  return reply.done ? 0 : reply.promisedFencing;
}

function describe(reply: rankSession.RankReply): string {
  return reply.done ? "done" : `${reply.failure}: ${reply.detail}`;
}
