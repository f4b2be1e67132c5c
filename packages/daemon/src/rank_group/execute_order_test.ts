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

// An engine does not answer an order to hold an iteration, and crashes. After
// the restart it has begun as many orders as before. If it got the order again,
// it would hold an iteration that no leader releases.
test("an order is not repeated at an engine that restarted", async (t) => {
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

// The answer to an order is lost while the engine carries the order out. The
// repeated order is refused as a repetition by an engine that counts no orders.
// The switch must not be given up, since all ranks load the map.
test("an order to load a map counts as done although its answer was lost", async (t) => {
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

// Ranks would use two maps in one iteration. A leader is paused just before it
// releases an iteration. Its successor releases it, holds the same one for a switch
// of its own, and has armed some ranks when the first leader continues.
test("an iteration is not released when its rank is prepared for another switch", async (t) => {
  let givenOrders = 0;
  const { status, ...report } = reportOf(1_000, 3);
  const held = { ...status, preparedVersion: 8, heldStep: 40 };
  const engine: rankEngine.RankEngine = {
    report: async () => neverthrow.ok({ ...report, status: held }),
    chosen: async () => neverthrow.err("not asked"),
    lists: async () => neverthrow.err("not asked"),
    order: async () => {
      givenOrders++;
      return rankEngine.EngineAnswer.Accepted;
    },
  };
  const release = (version: number) =>
    executeOrder.executeOrder({
      engine,
      order: { kind: wire.RankOrderKind.Release, step: 40, version },
      token: 1,
      epoch: 1,
    });
  const stale = await release(7);
  t.is(stale.end, wire.RankOrderEnd.Refused);
  t.is(givenOrders, 0);
  const current = await release(8);
  t.is(current.end, wire.RankOrderEnd.Done);
  t.is(givenOrders, 1);
});
