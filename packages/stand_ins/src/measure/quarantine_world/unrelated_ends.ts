import type * as common from "@geraniumkeel/common";

/** Milliseconds that a model plays. */
export const DURATION = 60_000;
/** Runners of a model. */
export const RUNNERS = 16;

/** When runners end for reasons of their own, and how many at once. */
export type OtherEnds = (
  random: common.Random,
) => { at: number; runners: number }[];

function every(pause: number, runners: number): OtherEnds {
  return (random: common.Random) => {
    const ends: { at: number; runners: number }[] = [];
    for (let at = random.between(0, pause); at < DURATION; at += pause) {
      ends.push({ at, runners });
    }
    return ends;
  };
}

/** No runner ends by itself. */
export const NO_ENDS: OtherEnds = () => [];

/** Ends that have nothing to do with any request. */
export const UNRELATED: Record<string, OtherEnds> = {
  "one each 10 s": every(10_000, 1),
  "one each second": every(1_000, 1),
  "three at once each 5 s": every(5_000, 3),
  "half at once each 6 s": every(6_000, RUNNERS / 2),
  "all at once each 6 s": every(6_000, RUNNERS),
};

/** Ways in which the runners depend on each other. */
export const GROUPINGS: Record<string, { groups: number; ranks: number }> = {
  "on their own": { groups: RUNNERS, ranks: 1 },
  "two groups": { groups: 2, ranks: RUNNERS / 2 },
  "one group": { groups: 1, ranks: RUNNERS },
};
