import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as neverthrow from "neverthrow";
import * as executeOrder from "./execute_order.ts";
import * as rankEngine from "./rank_engine.ts";

const test = ava.default;

function reportOf(bornAt: number, sequence: number): rankEngine.RankReport {
  return {
    identity: { group: "g", epoch: 1, rank: 0, size: 1 },
    bornAt,
    status: {
      epoch: 1,
      open: true,
      active: 0,
      waiting: 0,
      step: 10,
      mapVersion: 0,
      preparedVersion: 0,
      armedVersion: 0,
      armedStep: 0,
      heldStep: -1,
    },
    sequence,
    loading: false,
  };
}

// A pass would be held that nobody releases. The engine does not answer an order and
// crashes; started anew it has begun as many orders as before. The order was meant
// for the engine of before.
test("an order is not given again to an engine that started anew", async (t) => {
  const reports = [reportOf(1_000, 3), reportOf(2_000, 3)];
  let givenOrders = 0;
  const engine: rankEngine.RankEngine = {
    report: async () => neverthrow.ok(reports.shift() ?? reportOf(2_000, 3)),
    chosen: async () => neverthrow.err("not asked"),
    lists: async () => neverthrow.err("not asked"),
    order: async () => {
      givenOrders++;
      return rankEngine.EngineAnswer.Unknown;
    },
  };
  const outcome = await executeOrder.executeOrder({
    engine,
    order: { kind: wire.RankOrderKind.Hold, step: 40 },
    token: 1,
    epoch: 1,
  });
  t.is(outcome.end, wire.RankOrderEnd.Refused);
  t.is(givenOrders, 1);
});

// A whole switch is given up though all ranks load. The answer to an order is lost
// while the engine carries it out; the order is given again, and the engine, which
// counts no orders, refuses it as one that it knows.
test("a map whose order got no answer is loaded all the same", async (t) => {
  const answers = [
    rankEngine.EngineAnswer.Unknown,
    rankEngine.EngineAnswer.Refused,
  ];
  const engine: rankEngine.RankEngine = {
    report: async () => neverthrow.ok(reportOf(0, 0)),
    chosen: async () => neverthrow.err("not asked"),
    lists: async () => neverthrow.err("not asked"),
    order: async () => answers.shift() ?? rankEngine.EngineAnswer.Refused,
  };
  const outcome = await executeOrder.executeOrder({
    engine,
    order: { kind: wire.RankOrderKind.Prepare, version: 3, map: [] },
    token: 1,
    epoch: 1,
  });
  t.is(outcome.end, wire.RankOrderEnd.Done);
});
