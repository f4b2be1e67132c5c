import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as planPlacement from "../placement/plan_placement.ts";
import * as planQuick from "../placement/plan_quick.ts";
import type * as demandModule from "./demand.ts";
import * as copyCost from "./copy_cost.ts";

/**
 * How often a new map is considered while demand is stable. A plan takes one to
 * two milliseconds of processor time on a small host.
 */
const PLAN_INTERVAL_MILLISECONDS = 200;
/** Time after a shift in which a new map is considered at every check. */
const AFTER_SHIFT_MILLISECONDS = 1_000;
/**
 * Fixed cost of a switch, in copies. A copy is one expert that one rank loads
 * for a map. A switch must save at least as much as this many copies must.
 * Sending orders to all ranks and reading them costs as much, and a switch in
 * progress delays the reaction to a shift.
 */
const SWITCH_COST_IN_COPIES = 3;
/**
 * Minimum share of the slowest ranks' time that a switch must save, however
 * cheap its copies are. The orders go to all ranks, iterations take longer
 * during a switch, and the next shift may come before the switch is complete.
 */
const MIN_SWITCH_SAVING = 0.1;
/**
 * Minimum share of the slowest ranks' time that any copy must save. Where
 * copies cost almost nothing, many that save almost nothing would make the
 * order longer, and every rank would wait for the rank that loads most.
 */
const MIN_COPY_SAVING = 0.01;
/**
 * For how long a pace of a rank counts after it was seen. If only the latest one
 * did, a pace that alternates every second would move experts away and back each
 * time, with copies.
 */
const PACE_MEMORY_MILLISECONDS = 3_000;
/** Half-life of the worst skew that was seen. */
const SKEW_HALF_LIFE_MILLISECONDS = 10_000;

/** The group for which maps are planned. */
export interface MapPlannerParameters {
  ranks: number;
  shape: traffic.EngineShape;
  /**
   * Longest pause between two events of a stream that still counts as on time,
   * in milliseconds; 0 if no route sets one.
   */
  gapMilliseconds: number;
  demand: demandModule.Demand;
}

/** A map that saves enough, with the strain under which it was planned. */
export interface PlannedMap {
  plan: planQuick.QuickPlan;
  /**
   * Strain of the group as `copyCost.strainOf` computes it; from 1 on, a shift
   * of demand would make streams late.
   */
  strain: number;
}

/**
 * Decides when a group gets a new map, and which one. Designed for demand that
 * shifts every few seconds: plans at once after a shift, seldom in between, and
 * only as many copies as save more than their loading costs.
 */
export class MapPlanner {
  #worstSkew = { skew: 1, at: 0 };
  #plannedAt = -Infinity;
  /**
   * Recent paces of each rank, oldest first, without those that a later one has
   * reached. So the first is the highest.
   */
  readonly #recentPaces: { pace: number; at: number }[][];

  constructor(readonly parameters: MapPlannerParameters) {
    this.#recentPaces = Array.from({ length: parameters.ranks }, () => []);
  }

  /**
   * Whether it is time to consider a new map. Also checks for shifts of demand,
   * so the caller has to call it often.
   */
  isDue(now: number): boolean {
    const { demand } = this.parameters;
    if (!demand.known) return false;
    demand.detectShift(now);
    if (now - demand.shiftDetectedAt < AFTER_SHIFT_MILLISECONDS) return true;
    return now - this.#plannedAt >= PLAN_INTERVAL_MILLISECONDS;
  }

  /**
   * Plans the next map. Returns `undefined` if none saves enough. `now` is
   * monotonic; `statuses` are in order of rank; `places` lists the ranks of each expert under the map
   * in force.
   */
  plan(
    now: number,
    statuses: readonly wire.RankStatus[],
    places: number[][][],
  ): PlannedMap | undefined {
    const { ranks, shape, gapMilliseconds, demand } = this.parameters;
    this.#plannedAt = now;
    const paces = this.#highestPaces(now, statuses);
    const skewNow = (weights?: number[]) =>
      planPlacement.skewOf([...demand.load], places, ranks, weights);
    const skewAfterShift = this.#skewAfterShift(now);
    const strain = copyCost.strainOf({
      shape,
      statuses,
      skewAfterShift: paces
        ? Math.max(skewAfterShift, skewNow(paces))
        : skewAfterShift,
      gapMilliseconds,
    });
    const cost = copyCost.costOfCopy(shape, ranks);
    const minSavingOfCopy = Math.max(
      MIN_COPY_SAVING,
      cost * copyCost.minSavingOfCopy(strain),
    );
    const plan = planQuick.planQuick({
      ranks,
      slots: shape.expertSlots,
      load: demand.load,
      places,
      paces,
      minGainSharePerCopy: minSavingOfCopy,
      maxCopiesPerRank: copyCost.maxCopiesPerRank(shape),
      maxCopiesPerRankAndLayer: shape.spareSlots,
    });
    // A slow rank says nothing about the skew after the next shift of demand.
    this.#noteSkew(paces ? skewNow() : plan.skewBefore, now);
    const saving = 1 - plan.skewAfter / plan.skewBefore;
    const minSaving = Math.max(
      MIN_SWITCH_SAVING,
      SWITCH_COST_IN_COPIES * minSavingOfCopy,
    );
    if (plan.changes === 0 || saving < minSaving) return undefined;
    return { plan, strain };
  }

  /**
   * Highest recent paces of all ranks; `undefined` if none was slow. A rank that
   * is faster than usual counts as usual: its share of the load would make the
   * others wait as soon as it is no longer.
   */
  #highestPaces(
    now: number,
    statuses: readonly wire.RankStatus[],
  ): number[] | undefined {
    const paces = this.#recentPaces.map((recent, rank) => {
      const pace = Math.max(1, statuses[rank]?.pace ?? 1);
      while ((recent.at(-1)?.pace ?? Infinity) <= pace) recent.pop();
      recent.push({ pace, at: now });
      while (now - recent[0].at > PACE_MEMORY_MILLISECONDS) recent.shift();
      return recent[0].pace;
    });
    return paces.some((pace) => pace > 1) ? paces : undefined;
  }

  /**
   * The worst skew seen recently, which is the skew to expect after the next
   * shift of demand.
   */
  #skewAfterShift(now: number): number {
    const halvings = (now - this.#worstSkew.at) / SKEW_HALF_LIFE_MILLISECONDS;
    return 1 + (this.#worstSkew.skew - 1) * 0.5 ** halvings;
  }

  #noteSkew(skew: number, now: number): void {
    if (skew < this.#skewAfterShift(now)) return;
    this.#worstSkew = { skew, at: now };
  }
}
