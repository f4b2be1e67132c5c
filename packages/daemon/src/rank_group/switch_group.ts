import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as groupRank from "./group_rank.ts";
import * as mapDifference from "./map_difference.ts";
import * as insistOrder from "./insist_order.ts";

/** Tries to hold a pass that has not begun; each takes a later one. */
const HOLD_TRIES = 8;
/** Time for all ranks to load what a map needs. */
const PREPARE_MILLISECONDS = 4_000;
/** Time for the pass that switches to begin, with requests under way. */
const SWITCH_MILLISECONDS = 1_000;

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
  ports: readonly groupRank.GroupRank[];
  /** The rank beside the leader. */
  own: groupRank.GroupRank;
  /** Rank at which passes are held: another one's, if there is any. */
  holder: groupRank.GroupRank;
  /** Never used before in this group, by any leader. */
  version: number;
  map: wire.RankMap;
  /** The map in force, to which the next one is told as changes. */
  base?: { version: number; map: wire.RankMap };
  /** Time that a rank loads for each expert that is new to it; 0 if it is not known. */
  copyMilliseconds?: number;
  /** Passes between the one under way and the one that switches, as of now. */
  leadSteps: () => number;
  /** Whether the leader still is what it was. */
  valid: () => boolean;
  /** Whether demand has changed since the map was planned. */
  outdated: () => boolean;
  /** Tells all ranks which pass is about to be held. */
  announceHold: (step: number) => void;
  pause: groupRank.Pause;
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
  const { ports, own, holder, version, valid, outdated, pause } = parameters;
  const outcome: GroupSwitchOutcome = {
    kind: GroupSwitchKind.GivenUp,
    detail: "",
    prepareMilliseconds: 0,
    armMilliseconds: 0,
    lastToLoad: -1,
  };
  const prepare = prepareOrder(parameters);
  const notBegun = await orderAll(ports, prepare);
  if (notBegun) return { ...outcome, ...endOf(notBegun) };
  const hasLoaded = () => {
    const loading = ports.find((port) => !isLoaded(port, version));
    outcome.lastToLoad = loading?.rank ?? outcome.lastToLoad;
    return loading === undefined;
  };
  const prepared = await waitUntil(
    PREPARE_MILLISECONDS,
    parameters,
    () => outdated() || hasLoaded(),
  );
  outcome.prepareMilliseconds = common.now() - startedAt;
  if (outdated()) return { ...outcome, kind: GroupSwitchKind.Outdated };
  if (!prepared) return { ...outcome, detail: "not loaded in time" };
  const preparedAt = common.now();
  const step = await holdAhead(parameters);
  if (typeof step !== "number") return { ...outcome, ...endOf(step) };
  const arm = { kind: wire.RankOrderKind.Arm, version, step } as const;
  for (const ranks of armingStages(parameters)) {
    const insisted = { ports: ranks, order: arm, valid, pause };
    const notArmed = await insistOrder.insistAll(insisted);
    if (!notArmed) continue;
    const { detail } = notArmed;
    return { ...outcome, kind: GroupSwitchKind.Unfinished, detail };
  }
  const order = { kind: wire.RankOrderKind.Release, step } as const;
  await insistOrder.insistOrder({ port: holder, order, valid, pause });
  outcome.armMilliseconds = common.now() - preparedAt;
  // All were armed for one pass, which all ranks begin together.
  await waitUntil(
    SWITCH_MILLISECONDS,
    parameters,
    () => own.status?.mapVersion === version,
  );
  return { ...outcome, kind: GroupSwitchKind.Done };
}

function isLoaded(port: groupRank.GroupRank, version: number): boolean {
  return port.status?.preparedVersion === version;
}

/** The order to load the next map. */
function prepareOrder({
  version,
  map,
  base,
  copyMilliseconds,
}: GroupSwitchParameters): wire.RankOrder {
  const kind = wire.RankOrderKind.Prepare;
  const whole = { kind, version, map, copyMilliseconds } as const;
  // No rank was told the first map of a group.
  if (!base || base.version <= 0) return whole;
  const exchanges = mapDifference.differenceOf(base.map, map);
  const isShorter =
    mapDifference.sizeOfExchanges(exchanges) < mapDifference.sizeOfMap(map);
  if (!isShorter) return whole;
  const changes: wire.PrepareChanges = {
    kind: wire.RankOrderKind.PrepareChanges,
    version,
    base: base.version,
    exchanges: wire.packDocument(exchanges),
    copyMilliseconds,
  };
  return { ...whole, changes };
}

/**
 * The ranks in the order in which they are armed. The holder is the last but one: a
 * leader that freezes with its orders to the others on their way leaves it not
 * armed. What remains are the few milliseconds from its order to the release.
 */
function armingStages({
  ports,
  own,
  holder,
}: GroupSwitchParameters): groupRank.GroupRank[][] {
  const others = ports.filter((port) => port !== own && port !== holder);
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
  const { holder, ports, announceHold } = parameters;
  const leadSteps = parameters.leadSteps();
  const steps = ports.map(({ status }) => status?.step ?? 0);
  let step = Math.max(...steps) + leadSteps;
  let reply: wire.RankReply;
  let tries = 0;
  do {
    announceHold(step);
    const order = { kind: wire.RankOrderKind.Hold, step } as const;
    reply = await holder.orderFromHere(order);
    if (reply.end === wire.RankOrderEnd.Done) return step;
    step = Math.max(step, reply.status?.step ?? step) + leadSteps;
    tries++;
  } while (reply.end === wire.RankOrderEnd.Refused && tries < HOLD_TRIES);
  return reply;
}

/** Gives all ranks an order once; the first reply that is not "done". */
async function orderAll(
  ports: readonly groupRank.GroupRank[],
  order: wire.RankOrder,
): Promise<wire.RankReply | undefined> {
  const replies = await Promise.all(ports.map((port) => port.order(order)));
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

function endOf(reply: wire.RankReply): {
  kind: GroupSwitchKind;
  detail: string;
} {
  const superseded = reply.end === wire.RankOrderEnd.Superseded;
  const kind = superseded
    ? GroupSwitchKind.Superseded
    : GroupSwitchKind.GivenUp;
  return { kind, detail: reply.detail };
}
