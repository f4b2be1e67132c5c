import * as common from "@geraniumkeel/common";
import * as deployment from "./group_world/deployment.ts";
import * as entriesRoom from "./group_world/entries_room.ts";
import * as groupRun from "./group_world/group_run.ts";
import * as mapLeader from "./group_world/map_leader.ts";
import * as statistics from "./statistics.ts";

const LENGTH_MILLISECONDS = 24_000;
const SHIFTED_PART = 0.7;
const SEEDS = [1, 2];

/** Groups with their shifts, and requests a second. */
const GROUPS = [
  {
    name: "sizing",
    size: deployment.SIZING,
    shiftMilliseconds: 3_200,
    rates: [40, 48],
  },
  {
    name: "sizing-grown",
    size: deployment.SIZING_GROWN,
    shiftMilliseconds: 2_330,
    rates: [150, 190],
  },
];

/** Streams in time when entries choose by counts that are a beat old. */
export async function measureChoice(): Promise<object> {
  const figures: object[] = [];
  for (const { name, size, shiftMilliseconds, rates } of GROUPS) {
    for (const requestsPerSecond of rates) {
      for (const choice of Object.values(entriesRoom.ChoiceKind)) {
        const days: groupRun.DayFigures[] = [];
        for (const seed of SEEDS) {
          const run = new groupRun.GroupRun({
            size,
            seed,
            lengthMilliseconds: LENGTH_MILLISECONDS,
            requestsPerSecond: () => requestsPerSecond,
            shiftMilliseconds,
            shiftedPart: SHIFTED_PART,
          });
          run.room = new entriesRoom.EntriesRoom(run, choice);
          run.map = new mapLeader.MapLeader(run, new common.Random(seed));
          days.push(await run.play());
        }
        const meanOf = (figure: (day: groupRun.DayFigures) => number) =>
          statistics.round(statistics.mean(days.map(figure)));
        figures.push({
          name,
          requestsPerSecond,
          choice,
          inTime: meanOf(({ inTime }) => inTime),
          lateFirst: meanOf(({ lateFirst }) => lateFirst),
          lateGap: meanOf(({ lateGap }) => lateGap),
          lost: meanOf(({ lost }) => lost),
        });
      }
    }
  }
  return figures;
}
