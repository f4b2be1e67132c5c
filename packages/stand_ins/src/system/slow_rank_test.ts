import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import * as rankGroupStandIn from "../rank_group_stand_in.ts";
import * as rankProcesses from "../testing/rank_processes.ts";

const test = ava.default;

const RANKS = 4;
const EXPERTS = rankProcesses.SHAPE.expertsPerLayer;
const SLOW_RANK = 2;
const SLOW_PACE = 12;
const PASS_MILLISECONDS = 20;
const CHECK_MILLISECONDS = 10;
const TIMEOUT_MILLISECONDS = 20_000;

/** Each expert on one rank, the ranks in turn. */
function firstMap(): wire.RankMap {
  const experts = Array.from({ length: EXPERTS }, (_, expert) => expert);
  return [
    Array.from({ length: RANKS }, (_, rank) =>
      experts.filter((expert) => expert % RANKS === rank),
    ),
  ];
}

/** Number of experts with a replica on none of the ranks. */
function missingExperts(byRank: number[][]): number {
  const placed = new Set(byRank.flat());
  return EXPERTS - placed.size;
}

// The pace of a rank has to reach the leader of its group, which runs beside
// another rank: otherwise all ranks go on at the pace of the slow one. When the
// engine is as fast as before, the rank has to take its part again.
test("the map of a group leaves out a rank while its engine says that it is slow", async (t) => {
  let pace = 1;
  let byRank = firstMap()[0];
  const startedAt = common.now();
  const group = new rankGroupStandIn.RankGroupStandIn(RANKS, {
    firstMap: firstMap(),
    copyMilliseconds: 5,
    paceOf: (rank) => (rank === SLOW_RANK ? pace : 1),
    // Every expert is activated equally often, some thousand times a second.
    chosenBy: () =>
      new Array<number>(EXPERTS).fill(Math.floor(common.now() - startedAt)),
    onMap: (rank, map) => (byRank = byRank.with(rank, map[0][rank])),
  });
  const lifeCycle = new common.LifeCycle("test");
  t.teardown(() => lifeCycle.close());
  const passing = setInterval(() => group.pass(), PASS_MILLISECONDS);
  t.teardown(() => clearInterval(passing));
  const linkPort = await rankProcesses.freeLinkPort();
  for (let rank = 0; rank < RANKS; rank++) {
    await rankProcesses.startRankProcess({
      group,
      rank,
      linkPort,
      lifeCycle,
      store: rankProcesses.StoreState.Answers,
    });
  }
  const notice = new common.ChangeNotice();
  const check = setInterval(() => notice.announce(), CHECK_MILLISECONDS);
  t.teardown(() => clearInterval(check));
  const until = (condition: () => boolean) =>
    notice.until({ condition, timeoutMilliseconds: TIMEOUT_MILLISECONDS });
  const held = () => byRank[SLOW_RANK].length;

  pace = SLOW_PACE;
  t.true(await until(() => held() === 0));
  t.is(missingExperts(byRank), 0);
  pace = 1;
  // Other ranks keep replicas that it would save too little to give back.
  t.true(await until(() => held() > 0));
  t.is(missingExperts(byRank), 0);
  t.deepEqual(group.mixedPasses, []);
});
