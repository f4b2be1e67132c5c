import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as iterationTime from "../iteration/iteration_time.ts";

/**
 * Strain up to which a more balanced map makes no answer faster, and strain
 * from which the next shift of demand would make all streams of the group late.
 */
const LOW_STRAIN = 0.6;
const HIGH_STRAIN = 1;
/**
 * Share of the slowest ranks' time that loading one expert must save, at low
 * and at high strain. Every copy occupies the link of a rank for a while. At
 * low strain only the worst peaks justify that, as no answer is later because
 * of the others. Near the longest pause one percent is enough: a stream with
 * one pause that is too long counts as late, and all streams of a group pause
 * together.
 */
const CALM_MIN_SAVING = 0.04;
const STRAINED_MIN_SAVING = 0.01;
/**
 * Minimum cost of a copy, however fast it loads, because it is moved between
 * hosts.
 */
const MIN_COPY_COST = 0.2;
/**
 * How much longer iterations take while ranks load experts, as engines report.
 */
const LOADING_SLOWDOWN = 1.15;
/**
 * Time that a switch takes besides loading. Loading for up to this time costs
 * little. Beyond it, a small change that is in force sooner gains more than a
 * better one later.
 */
const SWITCH_OVERHEAD_MILLISECONDS = 150;

/** Load of a group, and what it must achieve. */
export interface GroupLoad {
  shape: traffic.EngineShape;
  statuses: readonly wire.RankStatus[];
  /** Time of the slowest rank over the mean, right after demand has shifted. */
  skewAfterShift: number;
  /**
   * Longest pause between two events of a stream that still counts as on time,
   * in milliseconds; 0 if no route sets one.
   */
  gapMilliseconds: number;
}

/**
 * Strain of a group: the length of an iteration after a shift of demand, over
 * the longest pause that still counts as on time. Without such a pause, the
 * share of slots in use. A group with its first map counts as highly strained:
 * it was formed a moment ago, mostly after an outage, and a backlog of requests
 * is about to arrive.
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
 * Share of the slowest ranks' time that a copy has to save under a strain.
 * Designed for demand that shifts every few seconds while the load varies
 * between a quarter of the slots and all of them.
 */
export function minSavingOfCopy(strain: number): number {
  const span = HIGH_STRAIN - LOW_STRAIN;
  const position = Math.min(1, Math.max(0, (strain - LOW_STRAIN) / span));
  // Interpolates on a logarithmic scale, because the saving of each further
  // copy falls in that way.
  return CALM_MIN_SAVING * (STRAINED_MIN_SAVING / CALM_MIN_SAVING) ** position;
}

/**
 * Cost of loading one expert: milliseconds of a rank's link for each request
 * that gains from shorter iterations. At one millisecond the cost is 1. In a
 * large group many requests gain from a short copy. If copies cost the same
 * there as in a small group, some that are almost free would be left out, and
 * the slowest rank would stay slow. 1 if the time to load is unknown.
 */
export function costOfCopy(shape: traffic.EngineShape, ranks: number): number {
  const { copyMilliseconds, slots } = shape;
  if (copyMilliseconds <= 0) return 1;
  const cost = copyMilliseconds / Math.max(1, ranks * slots);
  return Math.max(MIN_COPY_COST, cost);
}

/** Maximum number of experts that a rank loads for one map. */
export function maxCopiesPerRank(shape: traffic.EngineShape): number {
  const { copyMilliseconds } = shape;
  if (copyMilliseconds <= 0) return 1;
  return Math.max(
    1,
    Math.floor(SWITCH_OVERHEAD_MILLISECONDS / copyMilliseconds),
  );
}
