import * as wire from "@geraniumkeel/wire";
import type * as groupTerm from "./group_term.ts";
import * as rankSession from "./rank_session.ts";

/** Outcome of a switch. */
export enum SwitchOutcomeKind {
  /** All ranks use the new map. */
  Committed = "committed",
  /** All ranks still use the map that they had before. */
  Cancelled = "cancelled",
  /** Another coordinator has taken over the group. */
  Superseded = "superseded",
  /** Not certainly completed or cancelled; the next take-over does that. */
  Unfinished = "unfinished",
}

/** Outcome of a switch and the reason for it. */
export interface SwitchOutcome {
  kind: SwitchOutcomeKind;
  detail: string;
  /** Fencing number that a rank has promised; 0 if none was reported. */
  promisedFencing: number;
}

/** How the engines of a group change to a new map. */
export enum SwitchMode {
  /**
   * The coordinator sends each engine the new map ("stage"), the number of the
   * iteration that first uses the map ("arm") and the permission to use it
   * ("go"). The engine applies the map before that iteration if it has received
   * "go"; otherwise it holds until "go" arrives.
   */
  AtIteration = "at-step",
  /**
   * All engines hold, apply the map and are released. For engines that do not
   * number their iterations.
   */
  HoldAll = "hold-all",
}

/**
 * Rounds of orders to all ranks that must fit in before the iteration that
 * first uses the map: "arm" and "go", and at least half a round in reserve.
 * Staging is such a round, so the iterations that pass meanwhile show how long
 * a round takes. With a fixed lead and delayed messages, the group would reach
 * the iteration first and hold until the remaining orders arrive.
 */
const LEAD_ORDER_ROUNDS = 3;
/**
 * Upper limit of the lead, for a group that ran many iterations while one rank
 * was slow to stage the map.
 */
const MAX_LEAD_ITERATIONS = 1_000;

/** Parameters of a switch. */
export interface SwitchParameters {
  /** Term that all ranks have promised and confirmed. */
  term: groupTerm.GroupTerm;
  map: wire.ExpertMap;
  /** The same map as changes to the one in force, if that is known. */
  changes?: wire.MapChanges;
  mode: SwitchMode;
  /** Iterations from the order to arm to the first use of the map, at least. */
  minLeadIterations: number;
}

/**
 * Switches a group to a new expert map so that no iteration ever runs with two
 * maps. Every iteration needs all ranks. The agreement of all their upstream
 * processes is therefore sufficient, and no store takes part in the decision.
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

/** Arms all ranks for a later iteration and then orders "go". */
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
  // A rank whose answer is unknown may be armed and would hold. No rank has
  // received "go" yet, so the switch can still be cancelled at all ranks.
  if (notArmed) return cancelSwitch(parameters, notArmed);
  return completeArmedSwitch(term, version);
}

/**
 * Orders "go" at all ranks and waits until all use the map. After the first
 * "go" the switch cannot be cancelled, because that rank may already use the
 * map. A rank that has not received "go" holds before the iteration, so a late
 * "go" delays the group but never lets an iteration run with two maps.
 */
export async function completeArmedSwitch(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Go;
  const failedReply = await term.orderAllUntilFinal({
    kind,
    group,
    fencing,
    version,
  });
  if (failedReply) return failedOutcome(failedReply);
  return awaitApplied(term, version);
}

/**
 * Waits until all ranks use the map. The iteration that first uses it may be
 * some time ahead, and far ahead if a rank stalls. If the next map were staged
 * earlier, it would replace this one only at the ranks that do not use it yet.
 */
async function awaitApplied(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<SwitchOutcome> {
  const failedReply = await awaitAllRanks(
    term,
    (state) => state.mapVersion === version,
    () => term.pause(),
  );
  if (failedReply) return failedOutcome(failedReply);
  return {
    kind: SwitchOutcomeKind.Committed,
    promisedFencing: 0,
    detail: `map version ${version}`,
  };
}

/**
 * Reads the states of all ranks until each meets the condition. Returns a
 * failure if a rank refuses or the term stops.
 */
async function awaitAllRanks(
  term: groupTerm.GroupTerm,
  condition: (state: wire.RankState) => boolean,
  pause: () => Promise<void>,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const readState = { kind: wire.OrderKind.Promise, group, fencing } as const;
  for (;;) {
    const failedReply = await term.orderAllUntilFinal(readState);
    if (failedReply || term.states.every(condition)) return failedReply;
    await pause();
  }
}

/** Highest number of an iteration that any rank has reported. */
function newestIteration(term: groupTerm.GroupTerm): number {
  return Math.max(...term.states.map(({ step }) => step));
}

/** Orders all ranks to hold, to apply the staged map and to go on. */
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
 * Applies a staged map at all ranks, which have accepted the order to hold, and
 * releases them only after that. A rank accepts "hold" at once and may still be
 * running an iteration; if it applied the map then, it would complete that
 * iteration with another map than it began with. Only when all ranks report
 * that they hold is no iteration running anywhere in the group.
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
    detail: `map version ${version}`,
  };
}

/** Cancels the switch at all ranks, unless another coordinator took over. */
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
  const failedReply = await cancelSwitchesUpTo(term, map.version);
  if (failedReply) return failedOutcome(failedReply);
  return { kind: SwitchOutcomeKind.Cancelled, detail, promisedFencing: 0 };
}

/**
 * Makes all ranks drop maps that are staged or armed, up to and including a
 * version. Returns the first failure, if any.
 */
export async function cancelSwitchesUpTo(
  term: groupTerm.GroupTerm,
  version: number,
): Promise<rankSession.RankReply | undefined> {
  const { group, fencing } = term;
  const kind = wire.OrderKind.Cancel;
  return term.orderAllUntilFinal({ kind, group, fencing, version });
}

/** Outcome of a switch that could be neither completed nor cancelled. */
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
