import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as iterationTime from "../iteration/iteration_time.ts";

/**
 * Strain up to which a more even map serves nobody sooner, and from which the next
 * shift of demand would make all streams of the group late.
 */
const LOW_STRAIN = 0.6;
const HIGH_STRAIN = 1;
/**
 * Part of the slowest ranks' time that loading one expert must save. Every copy takes
 * the link of a rank for a while. With room, only the worst peaks are levelled, as no
 * answer is later for the others. Near the gap one percent pays: a stream that pauses
 * too long is late as a whole, and all streams of a group pause together.
 */
const CALM_MIN_SAVING = 0.04;
const STRAINED_MIN_SAVING = 0.01;
/** Least cost of a copy, however fast it loads: it is moved between hosts. */
const MIN_COPY_COST = 0.2;
/** How much longer passes take while ranks load, as engines tell. */
const LOADING_SLOWDOWN = 1.15;
/**
 * Time that the rest of a switch takes, in milliseconds. Loading as long as that is
 * cheap; longer, a first small change that comes sooner is worth more than a better
 * one later.
 */
const SWITCH_OVERHEAD_MILLISECONDS = 150;

/** How near to its limits a group is. */
export interface GroupLoad {
  shape: traffic.EngineShape;
  statuses: readonly wire.RankStatus[];
  /** Slowest over mean rank right after demand has shifted. */
  skewAfterShift: number;
  /** Longest pause between two events that is in time; 0 if none is told. */
  gapMilliseconds: number;
}

/**
 * The pass that would follow a shift of demand, over the longest pause that is in
 * time. A group with its first map counts as strained: it was formed a moment ago,
 * mostly after an outage, and the backlog is on its way.
 */
export function strainOf(load: GroupLoad): number {
  const { shape, statuses, skewAfterShift, gapMilliseconds } = load;
  if (statuses.every(({ mapVersion }) => mapVersion === 0)) return HIGH_STRAIN;
  const requests = statuses.reduce(
    (sum, { active, waiting }) => sum + active + waiting,
    0,
  );
  const slots = Math.max(1, statuses.length * shape.slots);
  if (gapMilliseconds <= 0) return requests / slots;
  const decoding = Math.min(requests, slots);
  const promptTokens = iterationTime.steadyPromptTokensPerIteration(
    shape,
    decoding,
  );
  const work = { decoding, promptTokens };
  const meanWork = iterationTime.meanWorkMilliseconds(
    shape,
    statuses.length,
    work,
  );
  const iteration = iterationTime.iterationMilliseconds(
    shape,
    meanWork,
    skewAfterShift,
  );
  return (iteration * LOADING_SLOWDOWN) / gapMilliseconds;
}

/**
 * Part of the slowest ranks' time that a copy has to save under a strain. For days
 * on which demand shifts every few seconds while load swings between a quarter of
 * the slots and all of them.
 */
export function minSavingOfCopy(strain: number): number {
  const span = HIGH_STRAIN - LOW_STRAIN;
  const position = Math.min(1, Math.max(0, (strain - LOW_STRAIN) / span));
  // Even steps in the logarithm: the gain of further copies falls like that.
  return CALM_MIN_SAVING * (STRAINED_MIN_SAVING / CALM_MIN_SAVING) ** position;
}

/**
 * What loading one expert costs, over what it costs where one millisecond of a rank's
 * link is spent for each request that gains by the faster pass. In a large group many
 * gain by a short copy: weighed as in a small one, copies that are nearly free would be
 * left out and the slowest rank would stay slow.
 */
export function costOfCopy(shape: traffic.EngineShape, ranks: number): number {
  const { copyMilliseconds, slots } = shape;
  if (copyMilliseconds <= 0) return 1;
  const cost = copyMilliseconds / Math.max(1, ranks * slots);
  return Math.max(MIN_COPY_COST, cost);
}

/** Experts that a rank loads at most for one map. */
export function maxCopiesPerRank(shape: traffic.EngineShape): number {
  const { copyMilliseconds } = shape;
  if (copyMilliseconds <= 0) return 1;
  return Math.max(
    1,
    Math.floor(SWITCH_OVERHEAD_MILLISECONDS / copyMilliseconds),
  );
}
