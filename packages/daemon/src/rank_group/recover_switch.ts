import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";
import * as orderUntilFinal from "./order_until_final.ts";

/** How settling ended. */
export enum SwitchRecoveryKind {
  /** No pass is held. */
  Nothing = "nothing",
  /** All ranks were armed: the switch goes on. */
  RolledForward = "forward",
  /** No rank is armed any more: all keep the map that they had. */
  RolledBack = "back",
  /** Some rank has to be heard first. */
  Waiting = "waiting",
}

/** How settling ended, and why. */
export interface SwitchRecovery {
  kind: SwitchRecoveryKind;
  detail: string;
}

/** A map that ranks can take without loading anything, under a new version. */
export interface FallbackMap {
  /** Never used before in this group, by any leader. */
  version: number;
  map: wire.RankMap;
}

/** A pass that a rank holds. */
interface HeldIteration {
  handle: rankHandle.RankHandle;
  step: number;
}

/** What settling needs. */
export interface RecoverSwitchParameters {
  handles: readonly rankHandle.RankHandle[];
  valid: () => boolean;
  pause: rankHandle.Pause;
  /** The holds that leaders of this forming of the group announced. */
  holdNotices: readonly wire.HoldNotice[];
  fallback: () => Promise<FallbackMap | undefined>;
}

/**
 * Settles what a leader before left: a pass that is held, with some ranks armed. A
 * group that stands still costs every stream of its model; two maps in one pass
 * cost the promise. Three rules keep these apart, whoever settles, also several at
 * once:
 *
 * - A pass is released only when all ranks are armed alike, or none is and none can
 *   be.
 * - The way back begins at a rank that is not armed: it is given another version to
 *   prepare, after which it can never be armed with the one before, and no leader
 *   can find all ranks armed. Only then is any other rank disarmed. At a rank that
 *   was armed meanwhile the engine refuses, and nothing has changed.
 * - No rank is armed here. So a rank that nobody reaches is not armed if it is the
 *   one beside the leader that held the pass: that one is armed after all others.
 */
export async function recoverSwitch(
  parameters: RecoverSwitchParameters,
): Promise<SwitchRecovery> {
  const { handles } = parameters;
  const answered = await Promise.all(handles.map((handle) => handle.refresh()));
  const reached = handles.filter((_, index) => answered[index]);
  const missing = handles.filter((_, index) => !answered[index]);
  const held = reached.flatMap(heldIterationOf);
  if (held.length === 0) return recoveryOf(SwitchRecoveryKind.Nothing, "");
  const unarmed = reached.find(({ status }) => status?.armedVersion === 0);
  if (!unarmed) {
    if (missing.length > 0) return waitingForRanks(missing);
    if (!areArmedForSameSwitch(reached))
      return recoveryOf(SwitchRecoveryKind.Waiting, "mixed");
    await release(held, parameters);
    return recoveryOf(SwitchRecoveryKind.RolledForward, "");
  }
  if (!missing.every((handle) => isArmedLast(handle, held, parameters))) {
    return waitingForRanks(missing);
  }
  return rollBack({ reached, unarmed, held, parameters });
}

function heldIterationOf(handle: rankHandle.RankHandle): HeldIteration[] {
  const step = handle.status?.heldStep ?? -1;
  return step >= 0 ? [{ handle, step }] : [];
}

/** Whether some rank holds a pass, as last heard. */
export function isAnyHeld(handles: readonly rankHandle.RankHandle[]): boolean {
  return handles.some(({ status }) => (status?.heldStep ?? -1) >= 0);
}

async function rollBack(rollback: {
  reached: rankHandle.RankHandle[];
  unarmed: rankHandle.RankHandle;
  held: HeldIteration[];
  parameters: RecoverSwitchParameters;
}): Promise<SwitchRecovery> {
  const { reached, unarmed, held, parameters } = rollback;
  const fallback = await parameters.fallback();
  if (!fallback)
    return recoveryOf(SwitchRecoveryKind.Waiting, "no map is known");
  const isReplaced = await replacePrepared(unarmed, fallback, parameters);
  if (!isReplaced)
    return recoveryOf(SwitchRecoveryKind.Waiting, "armed meanwhile");
  const others = reached.filter((handle) => handle !== unarmed);
  const disarmed = await Promise.all(
    others.map((handle) => disarmForGood(handle, fallback, parameters)),
  );
  if (!disarmed.every(Boolean)) {
    return recoveryOf(SwitchRecoveryKind.Waiting, "a rank did not answer");
  }
  await release(held, parameters);
  return recoveryOf(SwitchRecoveryKind.RolledBack, "");
}

/** Has a rank that is not armed prepare another version; false if it refuses. */
async function replacePrepared(
  handle: rankHandle.RankHandle,
  { version, map }: FallbackMap,
  { valid, pause }: RecoverSwitchParameters,
): Promise<boolean> {
  const order = { kind: wire.RankOrderKind.Prepare, version, map } as const;
  await orderUntilFinal.orderUntilFinal({ handle, order, valid, pause });
  do {
    await handle.refresh();
    const { status } = handle;
    if (!status || status.armedVersion > 0) return false;
    // A higher one is another leader's, and as good.
    if (status.preparedVersion >= version) return true;
    await pause();
  } while (valid());
  return false;
}

/** Disarms a rank for good: copies of the order to arm may still be on their way. */
async function disarmForGood(
  handle: rankHandle.RankHandle,
  fallback: FallbackMap,
  parameters: RecoverSwitchParameters,
): Promise<boolean> {
  const { valid, pause } = parameters;
  while (valid()) {
    if (await replacePrepared(handle, fallback, parameters)) return true;
    await handle.refresh();
    const version = handle.status?.armedVersion ?? 0;
    if (version > 0) {
      const order = { kind: wire.RankOrderKind.Disarm, version } as const;
      await orderUntilFinal.orderUntilFinal({ handle, order, valid, pause });
    }
    await pause();
  }
  return false;
}

async function release(
  held: readonly HeldIteration[],
  { valid, pause }: RecoverSwitchParameters,
): Promise<void> {
  for (const { handle, step } of held) {
    const order = { kind: wire.RankOrderKind.Release, step } as const;
    await orderUntilFinal.orderUntilFinal({ handle, order, valid, pause });
  }
}

/** Whether a rank is armed after all others in the switch that holds the pass. */
function isArmedLast(
  handle: rankHandle.RankHandle,
  held: readonly HeldIteration[],
  { holdNotices }: RecoverSwitchParameters,
): boolean {
  const [heldIteration, ...otherHeld] = held;
  if (otherHeld.length > 0) return false;
  const notice = holdNotices.find(
    ({ holder, step }) =>
      holder === heldIteration.handle.rank && step === heldIteration.step,
  );
  return notice?.leader === handle.rank;
}

function areArmedForSameSwitch(
  handles: readonly rankHandle.RankHandle[],
): boolean {
  const [first] = handles;
  return handles.every(
    ({ status }) =>
      status?.armedVersion === first.status?.armedVersion &&
      status?.armedStep === first.status?.armedStep,
  );
}

function waitingForRanks(
  missing: readonly rankHandle.RankHandle[],
): SwitchRecovery {
  const ranks = missing.map(({ rank }) => rank).join(", ");
  return recoveryOf(SwitchRecoveryKind.Waiting, `ranks ${ranks} do not answer`);
}

function recoveryOf(kind: SwitchRecoveryKind, detail: string): SwitchRecovery {
  return { kind, detail };
}
