import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";
import * as mapDifference from "./map_difference.ts";
import * as orderUntilFinal from "./order_until_final.ts";

/** Tries to hold a pass that has not begun; each takes a later one. */
const MAX_HOLD_TRIES = 8;
/** Time for all ranks to load what a map needs. */
const PREPARE_TIMEOUT_MILLISECONDS = 4_000;
/** Time for the pass that switches to begin, with requests under way. */
const SWITCH_TIMEOUT_MILLISECONDS = 1_000;

/** How a switch ended. */
export enum GroupSwitchKind {
  Done = "done",
  /** Nothing was armed; all ranks keep the map they had. */
  GivenUp = "given-up",
  /** The same, as demand changed while the map was loaded. */
  Outdated = "outdated",
  /** Another process leads. */
  Superseded = "superseded",
  /** A pass is held and has to be settled. */
  Unfinished = "unfinished",
}

/** How a switch ended, with the time of its stages in milliseconds. */
export interface GroupSwitchOutcome {
  kind: GroupSwitchKind;
  detail: string;
  prepareMilliseconds: number;
  armMilliseconds: number;
  /** Rank that loaded the map last, or that did not load it; -1 if none was told. */
  lastToLoad: number;
}

/** What a switch needs. */
export interface GroupSwitchParameters {
  /** All ranks of the group. */
  handles: readonly rankHandle.RankHandle[];
  /** The rank beside the leader. */
  own: rankHandle.RankHandle;
  /** Rank at which passes are held: another one's, if there is any. */
  holder: rankHandle.RankHandle;
  /** Never used before in this group, by any leader. */
  version: number;
  map: wire.RankMap;
  /** The map in force, to which the next one is told as changes. */
  base?: { version: number; map: wire.RankMap };
  /** Time that a rank loads for each expert that is new to it; 0 if it is not known. */
  copyMilliseconds?: number;
  /** Passes between the one under way and the one that switches, as of now. */
  iterationsAhead: () => number;
  /** Whether the leader still is what it was. */
  valid: () => boolean;
  /** Whether demand has changed since the map was planned. */
  outdated: () => boolean;
  /** Tells all ranks which pass is about to be held. */
  announceHold: (step: number) => void;
  pause: rankHandle.Pause;
}

/**
 * Switches all ranks of a group to a new map in one pass. A rank that is armed
 * uses the map from that pass on, whatever the others do, so the pass is held
 * before the first rank is armed and released after the last one is. All engines
 * wait for the slowest, so one held rank holds the group.
 *
 * The leader's host may freeze at any moment, with its engine out of reach. So the
 * pass is held at another host, and the leader's own rank is armed after all
 * others: as long as one of these is not armed, the rank that nobody can ask is not
 * armed either, and a successor may go back (`settle_group.ts`). A group stood
 * still for 4 s, as long as the host did, when the pass was held beside the leader.
 *
 * A map that no longer fits demand is left unused before anything is armed. Switched to
 * all the same, it holds up the next one by all that arming takes, while every stream
 * waits for the slowest rank.
 */
export async function switchGroup(
  parameters: GroupSwitchParameters,
): Promise<GroupSwitchOutcome> {
  const startedAt = common.now();
  const { handles, own, holder, version, valid, outdated, pause } = parameters;
  const outcome: GroupSwitchOutcome = {
    kind: GroupSwitchKind.GivenUp,
    detail: "",
    prepareMilliseconds: 0,
    armMilliseconds: 0,
    lastToLoad: -1,
  };
  const prepare = prepareOrder(parameters);
  const prepareFailure = await orderAll(handles, prepare);
  if (prepareFailure) return { ...outcome, ...outcomeOf(prepareFailure) };
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
  if (!prepared) return { ...outcome, detail: "not loaded in time" };
  const preparedAt = common.now();
  const step = await holdAhead(parameters);
  if (typeof step !== "number") return { ...outcome, ...outcomeOf(step) };
  const arm = { kind: wire.RankOrderKind.Arm, version, step } as const;
  for (const stage of armingStages(parameters)) {
    const armParameters = { handles: stage, order: arm, valid, pause };
    const armFailure = await orderUntilFinal.orderAllUntilFinal(armParameters);
    if (!armFailure) continue;
    const { detail } = armFailure;
    return { ...outcome, kind: GroupSwitchKind.Unfinished, detail };
  }
  const order = { kind: wire.RankOrderKind.Release, step } as const;
  await orderUntilFinal.orderUntilFinal({
    handle: holder,
    order,
    valid,
    pause,
  });
  outcome.armMilliseconds = common.now() - preparedAt;
  // All were armed for one pass, which all ranks begin together.
  await waitUntil(
    SWITCH_TIMEOUT_MILLISECONDS,
    parameters,
    () => own.status?.mapVersion === version,
  );
  return { ...outcome, kind: GroupSwitchKind.Done };
}

function isLoaded(handle: rankHandle.RankHandle, version: number): boolean {
  return handle.status?.preparedVersion === version;
}

/** The order to load the next map. */
function prepareOrder({
  version,
  map,
  base,
  copyMilliseconds,
}: GroupSwitchParameters): wire.RankOrder {
  const kind = wire.RankOrderKind.Prepare;
  const fullOrder = { kind, version, map, copyMilliseconds } as const;
  // No rank was told the first map of a group.
  if (!base || base.version <= 0) return fullOrder;
  const exchanges = mapDifference.differenceOf(base.map, map);
  const isShorter =
    mapDifference.sizeOfExchanges(exchanges) < mapDifference.sizeOfMap(map);
  if (!isShorter) return fullOrder;
  const changes: wire.PrepareChanges = {
    kind: wire.RankOrderKind.PrepareChanges,
    version,
    base: base.version,
    exchanges: wire.packDocument(exchanges),
    copyMilliseconds,
  };
  return { ...fullOrder, changes };
}

/**
 * The ranks in the order in which they are armed. The holder is the last but one: a
 * leader that freezes with its orders to the others on their way leaves it not
 * armed. What remains are the few milliseconds from its order to the release.
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
 * Holds the first pass that surely has not begun; its number, or the refusal. The
 * order comes from the leader's host, not from the process beside the holder: a
 * host that freezes right after it gave an order is then not the one that all wait
 * for.
 */
async function holdAhead(
  parameters: GroupSwitchParameters,
): Promise<number | wire.RankReply> {
  const { holder, handles, announceHold } = parameters;
  const iterationsAhead = parameters.iterationsAhead();
  const steps = handles.map(({ status }) => status?.step ?? 0);
  let step = Math.max(...steps) + iterationsAhead;
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

/** Gives all ranks an order once; the first reply that is not "done". */
async function orderAll(
  handles: readonly rankHandle.RankHandle[],
  order: wire.RankOrder,
): Promise<wire.RankReply | undefined> {
  const replies = await Promise.all(
    handles.map((handle) => handle.order(order)),
  );
  return replies.find(({ end }) => end !== wire.RankOrderEnd.Done);
}

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
