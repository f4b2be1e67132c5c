import * as common from "@geraniumkeel/common";
import * as planPlacement from "@geraniumkeel/daemon/placement/plan_placement";
import * as planQuick from "@geraniumkeel/daemon/placement/plan_quick";
import * as demandModule from "@geraniumkeel/daemon/rank_group/demand";
import * as worthOfCopy from "@geraniumkeel/daemon/rank_group/worth_of_copy";
import * as expertPopularity from "./expert_popularity.ts";
import * as statistics from "./statistics.ts";

/** Sizes of groups that are in use, and the next ones. */
const SIZES = [
  { ranks: 8, layers: 6, experts: 64, slots: 11, spare: 4 },
  { ranks: 32, layers: 12, experts: 128, slots: 5, spare: 4 },
];
const LENGTH_MILLISECONDS = 60_000;
/** Counts are read and plans made this often. */
const COUNT_MILLISECONDS = 150;
/** Demand shifts this often, for this part of what is liked. */
const SHIFT_MILLISECONDS = 4_000;
const SHIFTED_PART = 0.5;
/** Choices of one layer that a group makes between two readings. */
const CHOICES_PER_READING = 4_000;
/**
 * Time to load the experts of a map and to switch: one expert for the busiest rank
 * took 0.11 s, six 0.48 s, and the switch 0.03 to 0.05 s, by the leaders' lines.
 */
const LOAD_BASE_MILLISECONDS = 75;
const LOAD_MILLISECONDS_PER_EXPERT = 74;
/** Bounds of the group's leader. */
const LEAST_GAIN_SHARE = 0.07;
const COPIES_PER_RANK = 6;
const FULLNESSES = [0.2, 0.6];

type Size = (typeof SIZES)[number];

/** Skew with a live map and without, and how soon a shift is followed. */
export function measureLiveMap(): object {
  return SIZES.flatMap((size) =>
    FULLNESSES.map((fullness) => ({
      ...size,
      fullness,
      ...follow(size, fullness, new common.Random(7)),
    })),
  );
}

/** One group in virtual time. */
function follow(size: Size, fullness: number, random: common.Random): object {
  const first = firstPlaces(size);
  const demand = new demandModule.Demand(size.experts);
  let popularity = expertPopularity.expertPopularity(size, random);
  let places = first;
  let loading: { places: number[][][]; readyAt: number } | undefined;
  let shiftedAt: number | undefined;
  const live: number[] = [];
  const still: number[] = [];
  const reactions: number[] = [];
  const planTimes: number[] = [];
  let copies = 0;
  for (let now = 0; now < LENGTH_MILLISECONDS; now += COUNT_MILLISECONDS) {
    if (now > 0 && now % SHIFT_MILLISECONDS < COUNT_MILLISECONDS) {
      popularity = shifted(popularity, size, random);
      shiftedAt = now;
    }
    if (loading && now >= loading.readyAt) {
      places = loading.places;
      loading = undefined;
      if (shiftedAt !== undefined) reactions.push(now - shiftedAt);
      shiftedAt = undefined;
    }
    live.push(planPlacement.skewOf(popularity, places, size.ranks));
    still.push(planPlacement.skewOf(popularity, first, size.ranks));
    demand.add(drawn(popularity, random), now);
    demand.noticeShift();
    if (loading || !demand.known) continue;
    const startedAt = common.now();
    const plan = planQuick.planQuick({
      ranks: size.ranks,
      slots: size.slots,
      load: demand.load,
      places,
      leastGainOfCopy: worthOfCopy.leastGainOfCopy(fullness),
      copiesPerRank: COPIES_PER_RANK,
      copiesPerRankAndLayer: size.spare,
    });
    planTimes.push(common.now() - startedAt);
    const gain = 1 - plan.skewAfter / plan.skewBefore;
    if (plan.copies === 0 || gain < LEAST_GAIN_SHARE) continue;
    copies += plan.copies;
    const takes =
      LOAD_BASE_MILLISECONDS +
      plan.mostCopiesOfRank * LOAD_MILLISECONDS_PER_EXPERT;
    loading = { places: plan.places, readyAt: now + takes };
  }
  return {
    skewStill: statistics.round(statistics.mean(still)),
    skewLive: statistics.round(statistics.mean(live)),
    reactionMedian: statistics.quantile(reactions, 0.5),
    reactionWorst: Math.max(0, ...reactions),
    shiftsFollowed: reactions.length,
    copiesPerSecond: statistics.round((copies * 1_000) / LENGTH_MILLISECONDS),
    planMillisecondsMedian: statistics.round(
      statistics.quantile(planTimes, 0.5),
    ),
    planMillisecondsWorst: statistics.round(Math.max(...planTimes)),
  };
}

/** The map of a group that was just formed: experts in turn. */
function firstPlaces({ ranks, layers, experts }: Size): number[][][] {
  return Array.from({ length: layers }, () =>
    Array.from({ length: experts }, (_, expert) => [expert % ranks]),
  );
}

/** Popularity of which a part is another one's. */
function shifted(before: number[][], size: Size, random: common.Random) {
  const other = expertPopularity.expertPopularity(size, random);
  return before.map((layer, index) =>
    layer.map(
      (share, expert) =>
        share * (1 - SHIFTED_PART) + other[index][expert] * SHIFTED_PART,
    ),
  );
}

/** Choices as counted, with the scatter of chance. */
function drawn(popularity: number[][], random: common.Random): number[] {
  return popularity.flatMap((layer) =>
    layer.map((share) => {
      const expected = share * CHOICES_PER_READING;
      const scatter = Math.sqrt(expected) * random.between(-1.7, 1.7);
      return Math.max(0, Math.round(expected + scatter));
    }),
  );
}
