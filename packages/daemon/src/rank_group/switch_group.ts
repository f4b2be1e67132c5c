import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";

/** Passes between the one under way and the one that switches. */
const LEAD_STEPS = 2;
/** Tries to hold a pass that has not begun; each takes a later one. */
const HOLD_TRIES = 8;
/** Time for all ranks to load what a map needs. */
const PREPARE_MILLISECONDS = 4_000;
/** How often it is looked whether a state was reached. */
const LOOK_MILLISECONDS = 10;
/** Time for the pass that switches to begin, with requests under way. */
const SWITCH_MILLISECONDS = 1_000;

/** One rank, as the leader of its group reaches it. */
export interface GroupRank {
  readonly rank: number;
  /** State as last heard. */
  readonly status: wire.RankStatus | undefined;
  /** Gives an order and tells how it ended. */
  order(order: wire.RankOrder): Promise<wire.RankReply>;
}

/** How a switch ended. */
export enum GroupSwitchKind {
  Done = "done",
  /** Nothing was armed; all ranks keep the map they had. */
  GivenUp = "given-up",
  /** Another process leads. */
  Superseded = "superseded",
  /** The group was formed anew meanwhile, or a rank cannot be reached. */
  Unfinished = "unfinished",
}

/** How a switch ended, with the time of its stages in milliseconds. */
export interface GroupSwitchOutcome {
  kind: GroupSwitchKind;
  detail: string;
  prepareMilliseconds: number;
  armMilliseconds: number;
}

/** What a switch needs. */
export interface GroupSwitchParameters {
  /** All ranks of the group. */
  ports: GroupRank[];
  /** The rank beside the leader, at which passes are held. */
  own: GroupRank;
  version: number;
  map: wire.RankMap;
  /** Whether the leader still is what it was. */
  valid: () => boolean;
}

/**
 * Switches all ranks of a group to a new map in one pass. A rank that is armed
 * uses the map from that pass on, whatever the others do, so the pass is held
 * before the first rank is armed and released after the last one is. All engines
 * wait for the slowest, so one held rank holds the group. From the first armed
 * rank on there is no way but forward: an order to disarm could be overtaken by
 * a late copy of the order to arm.
 */
export async function switchGroup(
  parameters: GroupSwitchParameters,
): Promise<GroupSwitchOutcome> {
  const startedAt = common.now();
  const { ports, own, version, map, valid } = parameters;
  const outcome: GroupSwitchOutcome = {
    kind: GroupSwitchKind.GivenUp,
    detail: "",
    prepareMilliseconds: 0,
    armMilliseconds: 0,
  };
  const prepare = { kind: wire.RankOrderKind.Prepare, version, map } as const;
  const notBegun = await orderAll(ports, prepare);
  if (notBegun) return { ...outcome, ...endOf(notBegun) };
  const prepared = await waitUntil(PREPARE_MILLISECONDS, valid, () =>
    ports.every(({ status }) => status?.preparedVersion === version),
  );
  outcome.prepareMilliseconds = common.now() - startedAt;
  if (!prepared) return { ...outcome, detail: "not loaded in time" };
  const preparedAt = common.now();
  const step = await holdAhead(own, ports);
  if (typeof step !== "number") return { ...outcome, ...endOf(step) };
  const arm = { kind: wire.RankOrderKind.Arm, version, step } as const;
  const notArmed = await insistAll(ports, arm, valid);
  if (notArmed) {
    const { detail } = notArmed;
    return { ...outcome, kind: GroupSwitchKind.Unfinished, detail };
  }
  const release = { kind: wire.RankOrderKind.Release, step } as const;
  await insistAll([own], release, valid);
  outcome.armMilliseconds = common.now() - preparedAt;
  await waitUntil(SWITCH_MILLISECONDS, valid, () =>
    ports.every(({ status }) => status?.mapVersion === version),
  );
  return { ...outcome, kind: GroupSwitchKind.Done };
}

/**
 * Settles what a leader before left: a pass that is held, with some ranks armed.
 * Any rank armed: arm all, as that one will switch. None, but all have loaded the
 * same map: arm all as well, as an order to arm may still be on its way. Then
 * release. The reply that stopped it, if any.
 */
export async function settleGroup(
  ports: GroupRank[],
  valid: () => boolean,
): Promise<wire.RankReply | undefined> {
  const states = ports.flatMap(({ status }) => (status ? [status] : []));
  if (states.length < ports.length) return undefined;
  const held = ports.filter(({ status }) => (status?.heldStep ?? -1) >= 0);
  const step = held[0]?.status?.heldStep ?? -1;
  const armed = states.find(({ armedVersion }) => armedVersion > 0);
  const version = armed?.armedVersion ?? commonPreparedVersion(states);
  const pass = armed?.armedStep ?? step;
  if (version > 0 && pass >= 0) {
    const arm = { kind: wire.RankOrderKind.Arm, version, step: pass } as const;
    const notArmed = await insistAll(ports, arm, valid);
    if (notArmed) return notArmed;
  }
  for (const port of held) {
    const heldStep = port.status?.heldStep ?? -1;
    const release = {
      kind: wire.RankOrderKind.Release,
      step: heldStep,
    } as const;
    const notReleased = await insistAll([port], release, valid);
    if (notReleased) return notReleased;
  }
  return undefined;
}

/**
 * Whether anything is left of a switch that did not end. That all ranks are armed
 * alike is none: with no requests the pass that switches has yet to come.
 */
export function needsSettling(ports: GroupRank[]): boolean {
  const armed = new Set(ports.map(({ status }) => status?.armedVersion ?? 0));
  const held = ports.some(({ status }) => (status?.heldStep ?? -1) >= 0);
  return held || armed.size > 1;
}

/** Version that all ranks have loaded and none uses yet; 0 for none. */
function commonPreparedVersion(states: wire.RankStatus[]): number {
  const [first] = states;
  const same = states.every(
    ({ preparedVersion, mapVersion }) =>
      preparedVersion === first.preparedVersion && mapVersion < preparedVersion,
  );
  return same ? first.preparedVersion : 0;
}

/** Holds the first pass that surely has not begun; its number, or the refusal. */
async function holdAhead(
  own: GroupRank,
  ports: GroupRank[],
): Promise<number | wire.RankReply> {
  const steps = ports.map(({ status }) => status?.step ?? 0);
  let step = Math.max(...steps) + LEAD_STEPS;
  let reply: wire.RankReply;
  let tries = 0;
  do {
    reply = await own.order({ kind: wire.RankOrderKind.Hold, step });
    if (reply.end === wire.RankOrderEnd.Done) return step;
    step = Math.max(step, reply.status?.step ?? step) + LEAD_STEPS;
    tries++;
  } while (reply.end === wire.RankOrderEnd.Refused && tries < HOLD_TRIES);
  return reply;
}

/** Gives all ranks an order once; the first reply that is not "done". */
async function orderAll(
  ports: GroupRank[],
  order: wire.RankOrder,
): Promise<wire.RankReply | undefined> {
  const replies = await Promise.all(ports.map((port) => port.order(order)));
  return replies.find(({ end }) => end !== wire.RankOrderEnd.Done);
}

/** Repeats an order at each rank until its end is certain. */
async function insistAll(
  ports: GroupRank[],
  order: wire.RankOrder,
  valid: () => boolean,
): Promise<wire.RankReply | undefined> {
  const replies = await Promise.all(
    ports.map(async (port) => {
      let reply = await port.order(order);
      while (reply.end === wire.RankOrderEnd.Unknown && valid()) {
        await common.sleep(LOOK_MILLISECONDS);
        reply = await port.order(order);
      }
      return reply;
    }),
  );
  return replies.find(({ end }) => end !== wire.RankOrderEnd.Done);
}

async function waitUntil(
  milliseconds: number,
  valid: () => boolean,
  condition: () => boolean,
): Promise<boolean> {
  const deadline = common.now() + milliseconds;
  while (!condition()) {
    if (!valid() || common.now() > deadline) return false;
    await common.sleep(LOOK_MILLISECONDS);
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
