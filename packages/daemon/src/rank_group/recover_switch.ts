import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import type * as rankHandle from "./rank_handle.ts";
import * as ordersAtOnce from "./orders_at_once.ts";
import * as orderUntilFinal from "./order_until_final.ts";
import * as prepareOrder from "./prepare_order.ts";

/**
 * How often a rank is disarmed and ordered to prepare the fallback map before
 * the recovery begins anew, with a higher version of that map. Two tries suffice
 * unless another leader orders the same rank.
 */
const MAX_ROLLBACK_TRIES = 8;

/** Outcome of recovering a switch that an earlier leader left unfinished. */
export enum SwitchRecoveryKind {
  /** No rank holds an iteration, so there is nothing to recover. */
  Nothing = "nothing",
  /**
   * All ranks were armed for the same switch, so the release of the held
   * iteration was ordered. All ranks use the new map from the iteration on for
   * which they are armed.
   */
  RolledForward = "forward",
  /**
   * No rank is armed any longer, so the release of the held iteration was
   * ordered. All ranks continue with the map that they had.
   */
  RolledBack = "back",
  /**
   * The iteration is still held and the recovery has to be repeated: a rank did
   * not answer or is not in a suitable state, no fallback map is known, or this
   * process no longer leads.
   */
  Waiting = "waiting",
}

/** How a recovery turned out, with a reason for the log. */
export interface SwitchRecovery {
  kind: SwitchRecoveryKind;
  detail: string;
  /** Highest iteration that a rank was seen to hold; -1 if none was. */
  heldStep: number;
}

type Recovery = Omit<SwitchRecovery, "heldStep">;

/**
 * A known map under a new version, which the ranks can use without loading
 * anything. A rank that is ordered to prepare it no longer has the map of the
 * unfinished switch prepared and cannot be armed for that one. The recovery
 * arms no rank for the fallback map.
 */
export interface FallbackMap {
  /** A version that no leader has used in this group before. */
  version: number;
  map: wire.RankMap;
  /**
   * The map in force, where it is known. The fallback map is mostly the same one,
   * so that it is sent as no changes at all while the group stands still.
   */
  base?: { version: number; map: wire.RankMap };
}

/** An iteration that a rank does not begin before a release. */
interface HeldIteration {
  handle: rankHandle.RankHandle;
  step: number;
}

/** What the recovery of a switch needs. */
export interface RecoverSwitchParameters {
  handles: readonly rankHandle.RankHandle[];
  /**
   * Whether this process still leads this group epoch. If it no longer does,
   * the recovery stops.
   */
  valid: () => boolean;
  pause: rankHandle.Pause;
  /**
   * The notices that this process received in the current group epoch, in which
   * a leader notified all ranks which one is to hold which iteration.
   */
  holdNotices: readonly wire.HoldNotice[];
  /** Bytes per second that the network link of the leader's host carries. */
  linkBytesPerSecond?: number;
  /** Creates the fallback map; `undefined` if no map is known. */
  fallback: () => Promise<FallbackMap | undefined>;
}

/**
 * Recovers a switch that an earlier leader left unfinished: a rank holds an
 * iteration, and some ranks are armed for a new map. While the iteration is
 * held, every stream of the group's model stalls. If it were released with only
 * some ranks armed, the ranks would use two maps in one iteration, which must
 * never happen. Four rules let the iteration be released as soon as that is
 * safe and not before, whichever process recovers the switch, and also when
 * several do so at once:
 *
 * - An iteration is released only when all ranks are armed for the same switch,
 *   or when no rank is armed and none can be any more.
 * - Rolling back begins at a rank that is not armed. It is ordered to prepare
 *   another version. An engine has one prepared map and can be armed only for
 *   that, so the rank can never be armed for the version before, and no leader
 *   can find all ranks armed. Only then are the other ranks disarmed. If that
 *   first rank was armed in the meantime, its engine refuses the order, because
 *   an armed engine prepares no other map, and nothing has changed.
 * - Each order is bound to the switch that the recovery decided on. A rank is
 *   disarmed only from a version lower than the fallback map's, which the first
 *   rank can never be armed for. An iteration is released only while its rank is
 *   prepared for the fallback map, or armed for the switch that is completed. So
 *   a leader that was paused and replaced does no harm when it continues, also
 *   if it has not heard of its successor and engines check no fencing token.
 * - A recovery arms no rank, and a leader arms its own rank after all others.
 *   So while any other rank is not armed, the own rank of the leader that
 *   ordered the hold is not armed either. If it is the only rank that cannot be
 *   reached, the switch is rolled back without it.
 */
export async function recoverSwitch(
  parameters: RecoverSwitchParameters,
): Promise<SwitchRecovery> {
  const { handles } = parameters;
  const answered = await Promise.all(handles.map((handle) => handle.refresh()));
  const reached = handles.filter((_, index) => answered[index]);
  const missing = handles.filter((_, index) => !answered[index]);
  const held = reached.flatMap(heldIterationOf);
  const heldStep = Math.max(-1, ...held.map(({ step }) => step));
  if (held.length === 0)
    return { ...recoveryOf(SwitchRecoveryKind.Nothing, ""), heldStep };
  const recovery = await recoverHeld({ reached, missing, held, parameters });
  return { ...recovery, heldStep };
}

/** Recovers a switch for which ranks hold iterations. */
async function recoverHeld({
  reached,
  missing,
  held,
  parameters,
}: {
  reached: rankHandle.RankHandle[];
  missing: rankHandle.RankHandle[];
  held: HeldIteration[];
  parameters: RecoverSwitchParameters;
}): Promise<Recovery> {
  const unarmed = reached.find(({ status }) => status?.armedVersion === 0);
  if (!unarmed) {
    if (missing.length > 0) return waitingForRanks(missing);
    if (!areArmedForSameSwitch(reached))
      return recoveryOf(
        SwitchRecoveryKind.Waiting,
        "ranks are armed for different switches",
      );
    const { armedVersion = 0 } = reached[0].status ?? {};
    const isReleased = await release(held, armedVersion, parameters);
    return isReleased
      ? recoveryOf(SwitchRecoveryKind.RolledForward, "")
      : waitingForRelease();
  }
  if (
    !missing.every((handle) => isOwnRankOfHoldLeader(handle, held, parameters))
  ) {
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
}): Promise<Recovery> {
  const { reached, unarmed, held, parameters } = rollback;
  const fallback = await parameters.fallback();
  if (!fallback)
    return recoveryOf(
      SwitchRecoveryKind.Waiting,
      "no map to roll back with is known",
    );
  const order = prepareOrder.prepareOrder(fallback);
  const isReplaced = await replacePrepared(unarmed, order, parameters);
  if (!isReplaced)
    return recoveryOf(
      SwitchRecoveryKind.Waiting,
      "an unarmed rank was armed meanwhile, its state is unknown, or the lead was lost",
    );
  const others = reached.filter((handle) => handle !== unarmed);
  const atOnce = ordersAtOnce.ordersAtOnce(
    prepareOrder.bytesOf(order),
    parameters.linkBytesPerSecond ?? Infinity,
  );
  const disarmed = await common.mapBounded(others, atOnce, (handle) =>
    disarmAndReplacePrepared(handle, order, parameters),
  );
  if (!disarmed.every(Boolean)) {
    return recoveryOf(
      SwitchRecoveryKind.Waiting,
      "a rank is armed for a newer switch, or the lead was lost before all ranks were disarmed",
    );
  }
  const isReleased = await release(held, fallback.version, parameters);
  return isReleased
    ? recoveryOf(SwitchRecoveryKind.RolledBack, "")
    : waitingForRelease();
}

/**
 * Orders a rank to prepare the fallback map. Returns true once the rank reports
 * that version, or a higher one, as prepared. Returns false if the rank is
 * armed, if it refused the order, if its state is unknown, or if this process
 * stops leading before that.
 */
async function replacePrepared(
  handle: rankHandle.RankHandle,
  order: wire.PrepareOrder,
  { valid, pause }: RecoverSwitchParameters,
): Promise<boolean> {
  const { version } = order;
  const { end } = await orderUntilFinal.orderUntilFinal({
    handle,
    order,
    valid,
    pause,
  });
  do {
    await handle.refresh();
    const { status } = handle;
    if (!status || status.armedVersion > 0) return false;
    // A higher version was ordered by another leader. The rank can no longer be
    // armed for the version of the unfinished switch then either.
    if (status.preparedVersion >= version) return true;
    // An armed rank refuses the order, and another leader may have disarmed it
    // since. Without a new order it would never report the version.
    if (end !== wire.RankOrderEnd.Done) return false;
    await pause();
  } while (valid());
  return false;
}

/**
 * Disarms a rank, and orders it to prepare the fallback map, so that it cannot
 * be armed for the version before again. Disarming alone is not enough, because
 * copies of the order to arm may still be in transit. Repeats both until the
 * rank reports the fallback map, or a higher version, as prepared. Returns
 * false if it doesn't after several tries, if this process stops leading before
 * that, or if the rank is armed for a higher version than the fallback map.
 *
 * The higher version belongs to the switch of a newer leader, which this process
 * may not know of: it was paused, and engines need not check fencing tokens.
 * The rank at which the rollback began is not kept from that version. All ranks
 * may be armed for it, so disarming one would leave the ranks with two maps.
 */
async function disarmAndReplacePrepared(
  handle: rankHandle.RankHandle,
  fallback: wire.PrepareOrder,
  parameters: RecoverSwitchParameters,
): Promise<boolean> {
  const { valid, pause } = parameters;
  for (let tries = 0; tries < MAX_ROLLBACK_TRIES && valid(); tries++) {
    if (await replacePrepared(handle, fallback, parameters)) return true;
    await handle.refresh();
    const version = handle.status?.armedVersion ?? 0;
    if (version >= fallback.version) return false;
    if (version > 0) {
      const order = { kind: wire.RankOrderKind.Disarm, version } as const;
      await orderUntilFinal.orderUntilFinal({ handle, order, valid, pause });
    }
    await pause();
  }
  return false;
}

/**
 * Releases the held iterations, each only while its rank is prepared or armed
 * for `version`. Any other leader has its version prepared at all ranks before
 * it arms the first, so it has armed none then. Returns whether all are
 * released.
 */
async function release(
  held: readonly HeldIteration[],
  version: number,
  { valid, pause }: RecoverSwitchParameters,
): Promise<boolean> {
  for (const { handle, step } of held) {
    const order = { kind: wire.RankOrderKind.Release, step, version } as const;
    const { end } = await orderUntilFinal.orderUntilFinal({
      handle,
      order,
      valid,
      pause,
    });
    if (end !== wire.RankOrderEnd.Done) return false;
  }
  return true;
}

/**
 * Whether a rank is the own rank of the leader that ordered the hold, which
 * that leader arms after all other ranks. False if that leader is unknown,
 * because no notice of the hold was received, if several leaders ordered it, and
 * if several ranks hold an iteration, because they may do so for different
 * leaders.
 */
function isOwnRankOfHoldLeader(
  handle: rankHandle.RankHandle,
  held: readonly HeldIteration[],
  { holdNotices }: RecoverSwitchParameters,
): boolean {
  const [heldIteration, ...otherHeld] = held;
  if (otherHeld.length > 0) return false;
  const notices = holdNotices.filter(
    ({ holder, step }) =>
      holder === heldIteration.handle.rank && step === heldIteration.step,
  );
  return (
    notices.length > 0 && notices.every(({ leader }) => leader === handle.rank)
  );
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

function waitingForRanks(missing: readonly rankHandle.RankHandle[]): Recovery {
  const ranks = missing.map(({ rank }) => rank).join(", ");
  return recoveryOf(SwitchRecoveryKind.Waiting, `ranks ${ranks} do not answer`);
}

function waitingForRelease(): Recovery {
  return recoveryOf(
    SwitchRecoveryKind.Waiting,
    "a held iteration was not released: its rank is prepared for another switch, or the lead was lost",
  );
}

function recoveryOf(kind: SwitchRecoveryKind, detail: string): Recovery {
  return { kind, detail };
}
