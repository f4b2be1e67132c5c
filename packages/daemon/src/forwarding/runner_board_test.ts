import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as runnerBoard from "./runner_board.ts";

const test = ava.default;

function runnerOf(
  others: Partial<traffic.RunnerEntry> = {},
): traffic.RunnerEntry {
  return {
    identifier: "i-1",
    bornAt: 1_000,
    service: "s",
    address: "10.0.0.1",
    port: 80,
    dataCentre: "a",
    slots: 8,
    leaving: false,
    ...others,
  };
}

function boardOf(runners: traffic.RunnerEntry[]): runnerBoard.RunnerBoard {
  const random = new common.Random(1);
  const board = new runnerBoard.RunnerBoard({ dataCentre: "a", random });
  board.update({ version: 1, runners });
  return board;
}

function identifiers(board: runnerBoard.RunnerBoard): string[] {
  return board.runners().map(({ identifier }) => identifier);
}

// Callers wait for a full runner while a sound one stands idle. The runner failed
// its requests, hung and crashed; started anew under its identifier, it has none of
// the failures and none of the requests of its former life.
test("a runner that started anew has a clean record", (t) => {
  const board = boardOf([runnerOf()]);
  for (let call = 0; call < 6; call++) {
    board.begin("i-1")(runnerBoard.CallEnd.Bad);
  }
  const endOld = board.begin("i-1");
  board.spare("i-1");
  board.update({ version: 2, runners: [runnerOf({ bornAt: 2_000 })] });
  const [reborn] = board.runners();
  t.is(reborn.failureShare, 0);
  t.is(reborn.own, 0);
  t.false(reborn.spared);
  endOld(runnerBoard.CallEnd.Bad);
  t.is(board.runners()[0].own, 0);
  t.is(board.runners()[0].failureShare, 0);
});

test("a runner that goes on keeps its record", (t) => {
  const board = boardOf([runnerOf()]);
  board.begin("i-1")(runnerBoard.CallEnd.Bad);
  board.update({ version: 2, runners: [runnerOf({ slots: 4 })] });
  t.true(board.runners()[0].failureShare > 0);
});

// Each request sent there is turned away and sent again, which uses up the repeats
// that all share. The address was given to another runner, and the old registration
// stays listed for seconds while the list changes for other reasons.
test("a runner that is gone from its address gets no more while listed", (t) => {
  const other = runnerOf({ identifier: "i-2", port: 81 });
  const board = boardOf([runnerOf(), other]);
  board.drop(runnerOf());
  board.update({ version: 2, runners: [runnerOf(), other] });
  board.update({ version: 3, runners: [runnerOf(), other] });
  t.deepEqual(identifiers(board), ["i-2"]);
});

test("a runner that is gone is taken again once it started anew", (t) => {
  const board = boardOf([runnerOf()]);
  board.drop(runnerOf());
  board.update({ version: 2, runners: [runnerOf({ bornAt: 2_000 })] });
  t.deepEqual(identifiers(board), ["i-1"]);
});

// The answer to a request of the former life comes when the new one is listed.
test("a late word of the former life does not drop the new one", (t) => {
  const board = boardOf([runnerOf()]);
  board.update({ version: 2, runners: [runnerOf({ bornAt: 2_000 })] });
  board.drop(runnerOf());
  t.deepEqual(identifiers(board), ["i-1"]);
});
