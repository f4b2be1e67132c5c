import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as rankEngine from "./rank_engine.ts";

/** How long an order is repeated while its outcome is unknown. */
const ORDER_TIMEOUT_MILLISECONDS = 1_000;
/** Pause before an engine that does not answer is asked again. */
const RETRY_PAUSE_MILLISECONDS = 15;

/**
 * Outcome of an order at an engine, with the engine's state before the order.
 */
export interface OrderOutcome {
  end: wire.RankOrderEnd;
  /** Reason for an outcome other than "done", sent to the leader. */
  detail: string;
  status: wire.RankStatus | undefined;
}

/**
 * Has an engine carry out an order, and repeats the order until its outcome is
 * known. An order without an answer may still be carried out seconds later,
 * after newer ones. Two things prevent such a late copy from giving the ranks
 * of a group different maps:
 *
 * - The order applies to one switch only: it names a version that is never used
 *   again, or an iteration that is over by then. An order to release names the
 *   iteration, and the version for which the holder must be prepared.
 * - The order carries the number of orders that the engine has begun so far, as
 *   a condition. Any order begun since has raised that number. Not all engines
 *   count all orders, so safety does not depend on this alone.
 */
export async function executeOrder(parameters: {
  engine: rankEngine.RankEngine;
  order: wire.RankOrder;
  token: number;
  epoch: number;
}): Promise<OrderOutcome> {
  const { engine, order, token, epoch } = parameters;
  const deadline = common.now() + ORDER_TIMEOUT_MILLISECONDS;
  let status: wire.RankStatus | undefined;
  let refusedAtSequence = -1;
  let unanswered = false;
  let bornAt: number | undefined;
  while (common.now() < deadline) {
    const report = await engine.report();
    if (report.isErr()) {
      await common.sleep(RETRY_PAUSE_MILLISECONDS);
      continue;
    }
    const { sequence } = report.value;
    status = report.value.status;
    // A restarted engine counts its orders from 0. The earlier number could
    // come up again, and the engine would then carry out an order that was
    // meant for it before the restart.
    bornAt ??= report.value.bornAt;
    if (report.value.bornAt !== bornAt) {
      return refused("engine started anew", status);
    }
    if (status.epoch !== epoch) return refused(`epoch ${status.epoch}`, status);
    if (isAchieved(order, status)) return done(status);
    const obstacle = obstacleTo(order, status);
    if (obstacle) return refused(obstacle, status);
    // The engine refused the order although it began no other in the meantime,
    // so the number of orders is not the reason.
    if (refusedAtSequence === sequence) {
      // Loading takes a while before the state shows it. A copy of the order
      // that got no answer may have begun it; the engine then refuses this copy
      // as a repetition.
      const isPrepare = order.kind === wire.RankOrderKind.Prepare;
      if (isPrepare && unanswered) return done(status);
      return refused("refused by engine", status);
    }
    const answer = await engine.order(order, { token, epoch, sequence });
    switch (answer) {
      case rankEngine.EngineAnswer.Accepted:
        return done(status);
      case rankEngine.EngineAnswer.OldToken: {
        const end = wire.RankOrderEnd.Superseded;
        return { end, detail: "old token at engine", status };
      }
      case rankEngine.EngineAnswer.Refused:
        refusedAtSequence = sequence;
        break;
      case rankEngine.EngineAnswer.Unknown:
        unanswered = true;
        break;
    }
  }
  return { end: wire.RankOrderEnd.Unknown, detail: "no answer", status };
}

/** Whether an engine is in the state that an order asks for. */
function isAchieved(order: wire.RankOrder, status: wire.RankStatus): boolean {
  switch (order.kind) {
    case wire.RankOrderKind.Prepare:
      return status.preparedVersion === order.version;
    case wire.RankOrderKind.Arm:
      return (
        status.mapVersion === order.version ||
        (status.armedVersion === order.version &&
          status.armedStep === order.step)
      );
    case wire.RankOrderKind.Hold:
      return status.heldStep === order.step;
    case wire.RankOrderKind.Release:
      return status.heldStep !== order.step;
    case wire.RankOrderKind.Disarm:
      return status.armedVersion !== order.version;
  }
}

/**
 * Why an engine in this state can never carry out an order; `undefined` if it
 * can. The text is sent to the leader; "pass" in it means an iteration.
 */
function obstacleTo(
  order: wire.RankOrder,
  status: wire.RankStatus,
): string | undefined {
  switch (order.kind) {
    case wire.RankOrderKind.Prepare:
      return status.armedVersion > 0 ? "armed" : undefined;
    case wire.RankOrderKind.Arm:
      return status.step >= order.step
        ? `pass ${order.step} has begun`
        : undefined;
    case wire.RankOrderKind.Hold:
      if (status.heldStep >= 0) return `holds pass ${status.heldStep}`;
      return status.step >= order.step
        ? `pass ${order.step} has begun`
        : undefined;
    case wire.RankOrderKind.Release:
      return isForVersion(order, status)
        ? undefined
        : `prepared for ${status.preparedVersion}, not for ${order.version}`;
    case wire.RankOrderKind.Disarm:
      return undefined;
  }
}

/**
 * Whether the holder is still prepared or armed for the version on which the
 * leader based its order to release. A leader that has been replaced would
 * otherwise release the iteration that its successor holds, if both have the
 * same number.
 */
function isForVersion(
  { version }: wire.ReleaseOrder,
  { preparedVersion, armedVersion }: wire.RankStatus,
): boolean {
  return (
    version === undefined ||
    preparedVersion === version ||
    armedVersion === version
  );
}

function done(status: wire.RankStatus): OrderOutcome {
  return { end: wire.RankOrderEnd.Done, detail: "", status };
}

function refused(detail: string, status: wire.RankStatus): OrderOutcome {
  return { end: wire.RankOrderEnd.Refused, detail, status };
}
