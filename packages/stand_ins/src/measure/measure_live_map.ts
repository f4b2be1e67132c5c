import * as common from "@geraniumkeel/common";
import * as deployment from "./group_world/deployment.ts";
import * as directRoom from "./group_world/direct_room.ts";
import * as groupRun from "./group_world/group_run.ts";
import * as mapLeader from "./group_world/map_leader.ts";
import * as statistics from "./statistics.ts";

const LENGTH_MILLISECONDS = 34_000;
/** Demand shifts this often, for this part of what is liked. */
const SHIFT_MILLISECONDS = 3_200;
const SHIFTED_PART = 0.6;
const SEEDS = [1, 2, 3, 4];

/** Groups as they are deployed, each with requests a second: an easy and a full day. */
const GROUPS = [
  { name: "sizing", size: deployment.SIZING, rates: [34, 44] },
  { name: "dispatch", size: deployment.DISPATCH, rates: [18, 26] },
  { name: "sizing-grown", size: deployment.SIZING_GROWN, rates: [150, 190] },
];

/** What a day came to, with what its leader moved. */
type PlayedDay = groupRun.DayFigures & { copies: number; switches: number };

/** A day of each group with a live map and with the first map alone. */
export async function measureLiveMap(): Promise<object> {
  const figures: object[] = [];
  for (const { name, size, rates } of GROUPS) {
    for (const rate of rates) {
      const live = await playSeeds(size, rate, true);
      const still = await playSeeds(size, rate, false);
      figures.push({ name, requestsPerSecond: rate, live, still });
    }
  }
  return figures;
}

async function playSeeds(
  size: deployment.GroupDeployment,
  rate: number,
  live: boolean,
): Promise<object> {
  const days: PlayedDay[] = [];
  for (const seed of SEEDS) days.push(await playDay(size, rate, seed, live));
  const meanOf = (figure: (day: PlayedDay) => number) =>
    statistics.round(statistics.mean(days.map(figure)));
  return {
    inTime: meanOf(({ inTime }) => inTime),
    skew: meanOf(({ skew }) => skew),
    passMedian: meanOf(({ passMedian }) => passMedian),
    copies: meanOf(({ copies }) => copies),
    switches: meanOf(({ switches }) => switches),
  };
}

async function playDay(
  size: deployment.GroupDeployment,
  rate: number,
  seed: number,
  live: boolean,
): Promise<PlayedDay> {
  const run = new groupRun.GroupRun({
    size,
    seed,
    lengthMilliseconds: LENGTH_MILLISECONDS,
    requestsPerSecond: () => rate,
    shiftMilliseconds: SHIFT_MILLISECONDS,
    shiftedPart: SHIFTED_PART,
  });
  run.room = new directRoom.DirectRoom(run);
  const leader = new mapLeader.MapLeader(run, new common.Random(seed));
  if (live) run.map = leader;
  const figures = await run.play();
  const { copies, switches } = leader;
  return { ...figures, copies, switches };
}
