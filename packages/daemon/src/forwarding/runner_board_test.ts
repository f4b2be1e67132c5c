import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerBoard from "./runner_board.ts";

const test = ava.default;

function boardOf(
  runners: traffic.RunnerEntry[],
  lockStep = false,
): runnerBoard.RunnerBoard {
  const random = new common.Random(1);
  const inLockStep = () => lockStep;
  const parameters = { dataCentre: "d", random, inLockStep };
  const board = new runnerBoard.RunnerBoard(parameters);
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
  const board = boardOf([runnerFixture.createRunner()]);
  for (let call = 0; call < 6; call++) {
    board.begin("i-1")(runnerBoard.CallEnd.Bad);
  }
  const endOld = board.begin("i-1");
  board.spare("i-1");
  board.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  const [reborn] = board.runners();
  t.is(reborn.failureShare, 0);
  t.is(reborn.own, 0);
  t.false(reborn.spared);
  endOld(runnerBoard.CallEnd.Bad);
  t.is(board.runners()[0].own, 0);
  t.is(board.runners()[0].failureShare, 0);
});

test("a runner that goes on keeps its record", (t) => {
  const board = boardOf([runnerFixture.createRunner()]);
  board.begin("i-1")(runnerBoard.CallEnd.Bad);
  board.update({
    version: 2,
    runners: [runnerFixture.createRunner({ slots: 4 })],
  });
  t.true(board.runners()[0].failureShare > 0);
});

// Each request sent there is turned away and sent again, which uses up the repeats
// that all share. The address was given to another runner, and the old registration
// stays listed for seconds while the list changes for other reasons.
test("a runner that is gone from its address gets no more while listed", (t) => {
  const other = runnerFixture.createRunner({ identifier: "i-2", port: 81 });
  const board = boardOf([runnerFixture.createRunner(), other]);
  board.drop(runnerFixture.createRunner());
  board.update({ version: 2, runners: [runnerFixture.createRunner(), other] });
  board.update({ version: 3, runners: [runnerFixture.createRunner(), other] });
  t.deepEqual(identifiers(board), ["i-2"]);
});

test("a runner that is gone is taken again once it started anew", (t) => {
  const board = boardOf([runnerFixture.createRunner()]);
  board.drop(runnerFixture.createRunner());
  board.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  t.deepEqual(identifiers(board), ["i-1"]);
});

// The answer to a request of the former life comes when the new one is listed.
test("a late word of the former life does not drop the new one", (t) => {
  const board = boardOf([runnerFixture.createRunner()]);
  board.update({
    version: 2,
    runners: [runnerFixture.createRunner({ bornAt: 2_000 })],
  });
  board.drop(runnerFixture.createRunner());
  t.deepEqual(identifiers(board), ["i-1"]);
});

/** A board on which a request at `i-1` has made no progress for long enough. */
async function boardWithStall(
  lockStep: boolean,
): Promise<runnerBoard.RunnerBoard> {
  const runners = ["i-1", "i-2"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: 80 + index }),
  );
  const board = boardOf(runners, lockStep);
  board.begin("i-1");
  const notice = new common.ChangeNotice();
  await notice.until({
    condition: () => {
      setTimeout(() => notice.announce(), 20);
      return board.stalled("i-1");
    },
    timeoutMilliseconds: 10_000,
  });
  return board;
}

function soundRunners(board: runnerBoard.RunnerBoard): string[] {
  const views = board.candidates("s", new Set());
  return views.filter(({ spared }) => !spared).map((view) => view.identifier);
}

// Callers' streams stand still while their group holds a pass, for 0.9 s. Given up
// after 0.6 s they were all sent to the one rank that nothing was under way at, which
// is on the frozen host, and never answered there. All ranks advance together: one
// stalls, all have, and none is better before something is heard of it.
test("when a rank has stalled, another is no way out until it is heard", async (t) => {
  const board = await boardWithStall(true);
  t.deepEqual(soundRunners(board), []);
  board.begin("i-2");
  board.progress("i-2");
  t.deepEqual(soundRunners(board), ["i-2"]);
});

test("a runner on its own that stalls says nothing of the others", async (t) => {
  const board = await boardWithStall(false);
  t.deepEqual(soundRunners(board), ["i-2"]);
});

// A group that was formed anew takes work as a whole. Callers of a backlog waited for
// another second while entries found that out rank by rank.
test("when one rank of a group takes work again, all do", (t) => {
  const runners = ["i-1", "i-2", "i-3"].map((identifier, index) =>
    runnerFixture.createRunner({ identifier, port: 80 + index }),
  );
  const open = (lockStep: boolean) => {
    const board = boardOf(runners, lockStep);
    for (const { identifier } of runners) board.turnedAway(identifier);
    board.begin("i-1");
    board.progress("i-1");
    return board.candidates("s", new Set()).map((view) => view.identifier);
  };
  t.deepEqual(open(true), ["i-1", "i-2", "i-3"]);
  t.deepEqual(open(false), ["i-1"]);
});

// A list made from older rows of the store says that a runner is ready which is about to
// end: requests sent there are cut off.
test("a runner that was leaving gets nothing new from an older list", (t) => {
  const leaving = runnerFixture.createRunner({ leaving: true });
  const board = boardOf([leaving]);
  board.update({ version: 2, runners: [runnerFixture.createRunner()] });
  t.is(board.choose("s", new Set()), undefined);
  board.update({ version: 3, runners: [] });
  board.update({ version: 4, runners: [runnerFixture.createRunner()] });
  t.is(board.choose("s", new Set()), undefined);
});
