import * as common from "@geraniumkeel/common";
import * as wire from "@geraniumkeel/wire";
import * as rankEngine from "./rank_engine.ts";

/** Time for which an order is repeated until its outcome is certain. */
const ORDER_TIMEOUT_MILLISECONDS = 1_000;
/** Pause before an engine that does not answer is asked again. */
const RETRY_PAUSE_MILLISECONDS = 15;

/** How an order ended at an engine. */
export interface OrderOutcome {
  end: wire.RankOrderEnd;
  detail: string;
  status: wire.RankStatus | undefined;
}

/**
 * Has an engine carry out an order, and makes sure of it. An order without an answer
 * may be carried out seconds later, after newer ones. Two things keep a late copy
 * from splitting the group's maps. What it asks for is of one switch alone: a version
 * that is never used again, and a pass that is over by then. And it carries the
 * number of orders begun so far as its condition, which one that was begun since
 * has changed; not all engines count all orders, so nothing rests on that alone.
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
    // An engine that started anew counts its orders from 0: the number of before
    // could come again, and the order would be carried out under it.
    bornAt ??= report.value.bornAt;
    if (report.value.bornAt !== bornAt) {
      return refused("engine started anew", status);
    }
    if (status.epoch !== epoch) return refused(`epoch ${status.epoch}`, status);
    if (isAchieved(order, status)) return done(status);
    const obstacle = obstacleTo(order, status);
    if (obstacle) return refused(obstacle, status);
    // Refused although nothing was begun since: not for the number's sake.
    if (refusedAtSequence === sequence) {
      // Loading goes on for a while before the state shows it: a copy without an
      // answer may have begun it, and then this one is refused as known.
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

/** Why an engine in this state would never carry out an order. */
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
    case wire.RankOrderKind.Disarm:
      return undefined;
  }
}

function done(status: wire.RankStatus): OrderOutcome {
  return { end: wire.RankOrderEnd.Done, detail: "", status };
}

function refused(detail: string, status: wire.RankStatus): OrderOutcome {
  return { end: wire.RankOrderEnd.Refused, detail, status };
}
