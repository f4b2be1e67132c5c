import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";
import * as orderUntilFinal from "./order_until_final.ts";

/** Outcome of recovering a switch that an earlier leader left unfinished. */
export enum SwitchRecoveryKind {
  /** No rank holds an iteration, so there is nothing to recover. */
  Nothing = "nothing",
  /**
   * All ranks were armed for the same switch: the iteration was released, and
   * all use the new map from the armed iteration on.
   */
  RolledForward = "forward",
  /**
   * No rank is armed any longer: the iteration was released, and all ranks
   * continue with the map that they had.
   */
  RolledBack = "back",
  /**
   * The iteration is still held: a rank must answer, or change its state,
   * first.
   */
  Waiting = "waiting",
}

/** How a recovery turned out, with a reason for the log. */
export interface SwitchRecovery {
  kind: SwitchRecoveryKind;
  detail: string;
}

/**
 * A map that a rank can be ordered to prepare instead of the one it has
 * prepared, so that it can no longer be armed for the latter. It is a map that
 * the ranks can use without loading anything, under a new version.
 */
export interface FallbackMap {
  /** A version that no leader has used in this group before. */
  version: number;
  map: wire.RankMap;
}

/** An iteration that a rank does not begin before a release. */
interface HeldIteration {
  handle: rankHandle.RankHandle;
  step: number;
}

/** What the recovery of a switch needs. */
export interface RecoverSwitchParameters {
  handles: readonly rankHandle.RankHandle[];
  /** Whether this process still leads this group epoch. */
  valid: () => boolean;
  pause: rankHandle.Pause;
  /**
   * The announcements of held iterations that this process received in the
   * current group epoch.
   */
  holdNotices: readonly wire.HoldNotice[];
  /** Creates the fallback map; `undefined` if no map is known. */
  fallback: () => Promise<FallbackMap | undefined>;
}

/**
 * Recovers a switch that an earlier leader left unfinished: a rank holds an
 * iteration, and some ranks are armed for a new map. While the iteration is
 * held, every stream of the group's model stalls. If it were released with only
 * some ranks armed, the ranks would use two maps in one iteration, which must
 * never happen. Three rules prevent both, whichever process recovers the
 * switch, and also when several do so at once:
 *
 * - An iteration is released only when all ranks are armed for the same switch,
 *   or when no rank is armed and none can be any more.
 * - Rolling back begins at a rank that is not armed. It is ordered to prepare
 *   another version; after that it can never be armed for the version before,
 *   so no leader can find all ranks armed. Only then are the other ranks
 *   disarmed. If that first rank was armed in the meantime, its engine refuses
 *   the order, and nothing has changed.
 * - A recovery arms no rank. So if the one rank that cannot be reached is the
 *   rank beside the leader that ordered the hold, it is known not to be armed
 *   while any other rank is not: a leader arms its own rank after all others.
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
      return recoveryOf(
        SwitchRecoveryKind.Waiting,
        "ranks are armed for different switches",
      );
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

/** Whether any rank holds an iteration, by the latest state received. */
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
    return recoveryOf(SwitchRecoveryKind.Waiting, "no fallback map is known");
  const isReplaced = await replacePrepared(unarmed, fallback, parameters);
  if (!isReplaced)
    return recoveryOf(SwitchRecoveryKind.Waiting, "a rank was armed meanwhile");
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

/**
 * Orders a rank that is not armed to prepare another version. Returns false if
 * the rank is armed, if its state is unknown, or if `valid` turns false first.
 */
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
    // A higher version comes from another leader and serves the same purpose.
    if (status.preparedVersion >= version) return true;
    await pause();
  } while (valid());
  return false;
}

/**
 * Disarms a rank permanently. Disarming alone is not enough, because copies of
 * the order to arm may still be in transit; the rank is also ordered to prepare
 * another version. Returns false if `valid` turns false first.
 */
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

/**
 * Whether the leader that ordered the hold arms this rank after all others,
 * because it is its own rank. False if several ranks hold an iteration.
 */
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
