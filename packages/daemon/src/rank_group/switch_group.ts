import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as rankHandle from "./rank_handle.ts";
import * as ordersAtOnceModule from "./orders_at_once.ts";
import * as orderUntilFinal from "./order_until_final.ts";
import * as prepareOrderModule from "./prepare_order.ts";

/**
 * How often a switch tries to hold an iteration, each time a later one. A try
 * fails if the iteration has already begun.
 */
const MAX_HOLD_TRIES = 8;
/** Time limit for all ranks to load the experts that a map needs. */
const PREPARE_TIMEOUT_MILLISECONDS = 4_000;
/** Time limit for the iteration of the switch to begin while requests run. */
const SWITCH_TIMEOUT_MILLISECONDS = 1_000;

/** Outcome of a switch. */
export enum GroupSwitchKind {
  Done = "done",
  /** No rank was armed; all ranks keep the map that they had. */
  GivenUp = "given-up",
  /** As `GivenUp`, because demand changed while the ranks loaded the map. */
  Outdated = "outdated",
  /** A higher fencing token is in use: another process leads the group. */
  Superseded = "superseded",
  /** A rank still holds an iteration, which `recoverSwitch` must release. */
  Unfinished = "unfinished",
}

/** Outcome of a switch, with the duration of its stages in milliseconds. */
export interface GroupSwitchOutcome {
  kind: GroupSwitchKind;
  detail: string;
  /** Until all ranks had taken the order to load the map, or one had not. */
  orderMilliseconds: number;
  /** Until all ranks had loaded the map, the order included. */
  prepareMilliseconds: number;
  /** Until a rank held the iteration of the switch. */
  holdMilliseconds: number;
  /** Until the iteration was released, the hold included. */
  armMilliseconds: number;
  /** From the release until the own rank used the map. */
  beginMilliseconds: number;
  /** Ranks that did not carry out an order, in order of rank. */
  failedRanks: number[];
  /**
   * The rank that was last seen without the loaded map; -1 if none was seen.
   */
  lastToLoad: number;
}

/** What a switch needs. */
export interface GroupSwitchParameters {
  /** Handles of all ranks of the group. */
  handles: readonly rankHandle.RankHandle[];
  /** The rank beside the leader. */
  own: rankHandle.RankHandle;
  /**
   * The rank that holds the iteration: another than the leader's own, if the
   * group has one.
   */
  holder: rankHandle.RankHandle;
  /** A version that no leader has used in this group before. */
  version: number;
  map: wire.RankMap;
  /**
   * The map in force. The next map is sent as changes to it where that is
   * shorter.
   */
  base?: { version: number; map: wire.RankMap };
  /**
   * Time that a rank takes to load each expert that is new to it; 0 if unknown.
   */
  copyMilliseconds?: number;
  /**
   * How many iterations after the current one the switch takes place. Read
   * again just before the hold.
   */
  iterationsAhead: () => number;
  /**
   * First iteration that may be held: the one after the last that the leader
   * knows to have been held. An order to release that one may still be carried
   * out late, at an engine that doesn't count its orders, and would release the
   * same iteration of this switch.
   */
  minStep: number;
  /**
   * Whether this process still leads the group epoch in which the switch began.
   */
  valid: () => boolean;
  /** Whether demand has changed since the map was planned. */
  outdated: () => boolean;
  /** Bytes per second that the network link of the leader's host carries. */
  linkBytesPerSecond?: number;
  /** Notifies all ranks which iteration is about to be held. */
  announceHold: (step: number) => void;
  pause: rankHandle.Pause;
}

/**
 * Switches all ranks of a group to a new map in the same iteration. An armed
 * rank uses the new map from that iteration on, whatever the others do. So one
 * rank holds the iteration before the first rank is armed, and releases it
 * after the last one is. All engines wait for the slowest in each iteration, so
 * one rank that holds an iteration stops the group.
 *
 * The leader's host may freeze at any moment, and its engine is then out of
 * reach. Therefore a rank on another host holds the iteration, and the leader's
 * own rank is armed after all others: while one of these is not armed, the
 * unreachable rank is not armed either, and a successor can roll back
 * (`recover_switch.ts`). If the leader's own rank held the iteration, a host
 * that freezes for 4 s would stop the group for 4 s.
 *
 * If demand changes before any rank is armed, the switch is given up.
 * Completing it would delay the next switch by the time that arming takes,
 * while every stream waits for the slowest rank.
 */
export async function switchGroup(
  parameters: GroupSwitchParameters,
): Promise<GroupSwitchOutcome> {
  const startedAt = common.now();
  const { handles, own, holder, version, valid, outdated, pause } = parameters;
  const outcome: GroupSwitchOutcome = {
    kind: GroupSwitchKind.GivenUp,
    detail: "",
    orderMilliseconds: 0,
    prepareMilliseconds: 0,
    holdMilliseconds: 0,
    armMilliseconds: 0,
    beginMilliseconds: 0,
    failedRanks: [],
    lastToLoad: -1,
  };
  const prepare = prepareOrderModule.prepareOrder(parameters);
  const atOnce = ordersAtOnceModule.ordersAtOnce(
    prepareOrderModule.bytesOf(prepare),
    parameters.linkBytesPerSecond ?? Infinity,
  );
  const prepareFailures = await orderAll(handles, prepare, atOnce);
  outcome.orderMilliseconds = common.now() - startedAt;
  if (prepareFailures.length > 0) {
    outcome.failedRanks = prepareFailures.map(({ rank }) => rank);
    return { ...outcome, ...outcomeOf(prepareFailures[0].reply) };
  }
  const hasLoaded = () => {
    const loading = handles.find((handle) => !isLoaded(handle, version));
    outcome.lastToLoad = loading?.rank ?? outcome.lastToLoad;
    return loading === undefined;
  };
  const prepared = await waitUntil(
    PREPARE_TIMEOUT_MILLISECONDS,
    parameters,
    () => outdated() || hasLoaded(),
  );
  outcome.prepareMilliseconds = common.now() - startedAt;
  if (outdated()) return { ...outcome, kind: GroupSwitchKind.Outdated };
  if (!prepared)
    return { ...outcome, detail: "a rank did not load the map in time" };
  const preparedAt = common.now();
  const step = await holdAhead(parameters);
  outcome.holdMilliseconds = common.now() - preparedAt;
  if (typeof step !== "number") return { ...outcome, ...outcomeOf(step) };
  const arm = { kind: wire.RankOrderKind.Arm, version, step } as const;
  for (const stage of armingStages(parameters)) {
    const armParameters = { handles: stage, order: arm, valid, pause };
    const armFailure = await orderUntilFinal.orderAllUntilFinal(armParameters);
    if (!armFailure) continue;
    const { detail } = armFailure;
    return { ...outcome, kind: GroupSwitchKind.Unfinished, detail };
  }
  const order = { kind: wire.RankOrderKind.Release, step, version } as const;
  await orderUntilFinal.orderUntilFinal({
    handle: holder,
    order,
    valid,
    pause,
  });
  const releasedAt = common.now();
  outcome.armMilliseconds = releasedAt - preparedAt;
  // All ranks are armed for the same iteration and begin it together, so the
  // state of the own rank shows that all have switched.
  await waitUntil(
    SWITCH_TIMEOUT_MILLISECONDS,
    parameters,
    () => own.status?.mapVersion === version,
  );
  outcome.beginMilliseconds = common.now() - releasedAt;
  return { ...outcome, kind: GroupSwitchKind.Done };
}

function isLoaded(handle: rankHandle.RankHandle, version: number): boolean {
  return handle.status?.preparedVersion === version;
}

/**
 * The ranks, grouped in the order in which they are armed. The holder is armed
 * last but one: if the leader freezes while its orders to the other ranks are
 * in transit, the holder is not yet armed, and a successor can roll back. Only
 * in the few milliseconds between the order to the holder and the release would
 * a freeze leave a switch that no successor can roll back.
 */
function armingStages({
  handles,
  own,
  holder,
}: GroupSwitchParameters): rankHandle.RankHandle[][] {
  const others = handles.filter(
    (handle) => handle !== own && handle !== holder,
  );
  return holder === own ? [others, [own]] : [others, [holder], [own]];
}

/**
 * Holds the first iteration that has certainly not begun. Returns its number,
 * or the reply of the holder if it refused or did not answer. The leader's host
 * sends the order to the holder's engine itself, not through the process beside
 * the holder. A host may freeze right after a process on it sent the order. If
 * the process beside the holder sent it, that would be the host whose rank the
 * group waits for.
 */
async function holdAhead(
  parameters: GroupSwitchParameters,
): Promise<number | wire.RankReply> {
  const { holder, handles, minStep, announceHold } = parameters;
  const iterationsAhead = parameters.iterationsAhead();
  const steps = handles.map(({ status }) => status?.step ?? 0);
  let step = Math.max(Math.max(...steps) + iterationsAhead, minStep);
  let reply: wire.RankReply;
  let tries = 0;
  do {
    announceHold(step);
    const order = { kind: wire.RankOrderKind.Hold, step } as const;
    reply = await holder.orderDirectly(order);
    if (reply.end === wire.RankOrderEnd.Done) return step;
    step = Math.max(step, reply.status?.step ?? step) + iterationsAhead;
    tries++;
  } while (reply.end === wire.RankOrderEnd.Refused && tries < MAX_HOLD_TRIES);
  return reply;
}

/** A rank's reply to an order. */
interface ReplyOfRank {
  rank: number;
  reply: wire.RankReply;
}

/**
 * Sends an order for which no rank waits to all ranks once, to a limited number at
 * once. Returns the replies other than "done".
 */
async function orderAll(
  handles: readonly rankHandle.RankHandle[],
  order: wire.RankOrder,
  atOnce: number,
): Promise<ReplyOfRank[]> {
  const replies = await common.mapBounded(handles, atOnce, async (handle) => {
    const urgency = rankHandle.OrderUrgency.Unhurried;
    const reply = await handle.order(order, urgency);
    return { rank: handle.rank, reply };
  });
  return replies.filter(({ reply }) => reply.end !== wire.RankOrderEnd.Done);
}

/**
 * Waits for a condition. Returns false if the time limit is reached or this
 * process no longer leads.
 */
async function waitUntil(
  milliseconds: number,
  { valid, pause }: Pick<GroupSwitchParameters, "valid" | "pause">,
  condition: () => boolean,
): Promise<boolean> {
  const deadline = common.now() + milliseconds;
  while (!condition()) {
    if (!valid() || common.now() > deadline) return false;
    await pause();
  }
  return true;
}

function outcomeOf(reply: wire.RankReply): {
  kind: GroupSwitchKind;
  detail: string;
} {
  const superseded = reply.end === wire.RankOrderEnd.Superseded;
  const kind = superseded
    ? GroupSwitchKind.Superseded
    : GroupSwitchKind.GivenUp;
  return { kind, detail: reply.detail };
}
