import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as planQuick from "../placement/plan_quick.ts";
import type * as demandModule from "./demand.ts";
import * as copyCost from "./copy_cost.ts";

/**
 * How often it is weighed whether a new map pays while demand stays as it is. A plan
 * costs the small host one to two milliseconds of its processor.
 */
const PLAN_INTERVAL_MILLISECONDS = 200;
/** Time after a shift in which it is weighed at every look. */
const AFTER_SHIFT_MILLISECONDS = 1_000;
/**
 * Copies that a switch must be worth besides its own. Orders and readings of all
 * ranks cost as much, and a switch under way holds up the answer to a shift.
 */
const SWITCH_COST_IN_COPIES = 3;
/**
 * Part of the slowest ranks' time that a switch must save, however little its copies
 * cost: orders go to all ranks, passes take longer meanwhile, and the next shift finds
 * the group at it.
 */
const MIN_SWITCH_SAVING = 0.1;
/**
 * Part of the slowest ranks' time that any copy must save. Where copies are nearly
 * free, the many that gain next to nothing make the order longer, and every rank waits
 * for the rank that loads most.
 */
const MIN_COPY_SAVING = 0.01;
/** Time in which the worst skew that was seen is forgotten by half. */
const SKEW_HALF_LIFE_MILLISECONDS = 10_000;

/** What is planned for. */
export interface MapPlannerParameters {
  ranks: number;
  shape: traffic.EngineShape;
  /** Longest pause between two events that is in time; 0 if none is told. */
  gapMilliseconds: number;
  demand: demandModule.Demand;
}

/** A map that pays, and what it was weighed by. */
export interface PlannedMap {
  plan: planQuick.QuickPlan;
  /** How near the group is to its longest pause; 1 and more: beyond it. */
  strain: number;
}

/**
 * Decides when a group gets a new map, and which one. For days on which what is liked
 * shifts every few seconds: at once after a shift, seldom in between, and only for as
 * many copies as repay their loading.
 */
export class MapPlanner {
  #worstSkew = { skew: 1, at: 0 };
  #plannedAt = -Infinity;

  constructor(readonly parameters: MapPlannerParameters) {}

  /** Whether it is time to weigh a new map. Looks for shifts, so call it often. */
  isDue(now: number): boolean {
    const { demand } = this.parameters;
    if (!demand.known) return false;
    demand.detectShift(now);
    if (now - demand.shiftDetectedAt < AFTER_SHIFT_MILLISECONDS) return true;
    return now - this.#plannedAt >= PLAN_INTERVAL_MILLISECONDS;
  }

  /** The next map, or `undefined` if none pays. `places`: ranks of each expert. */
  plan(
    now: number,
    statuses: readonly wire.RankStatus[],
    places: number[][][],
  ): PlannedMap | undefined {
    const { ranks, shape, gapMilliseconds, demand } = this.parameters;
    this.#plannedAt = now;
    const strain = copyCost.strainOf({
      shape,
      statuses,
      skewAfterShift: this.#skewAfterShift(now),
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
      leastGainOfCopy: minSavingOfCopy,
      copiesPerRank: copyCost.maxCopiesPerRank(shape),
      copiesPerRankAndLayer: shape.spareSlots,
    });
    this.#noteSkew(plan.skewBefore, now);
    const saving = 1 - plan.skewAfter / plan.skewBefore;
    const minSaving = Math.max(
      MIN_SWITCH_SAVING,
      SWITCH_COST_IN_COPIES * minSavingOfCopy,
    );
    if (plan.copies === 0 || saving < minSaving) return undefined;
    return { plan, strain };
  }

  /** Worst skew seen of late: what the next shift of demand will bring. */
  #skewAfterShift(now: number): number {
    const halvings = (now - this.#worstSkew.at) / SKEW_HALF_LIFE_MILLISECONDS;
    return 1 + (this.#worstSkew.skew - 1) * 0.5 ** halvings;
  }

  #noteSkew(skew: number, now: number): void {
    if (skew < this.#skewAfterShift(now)) return;
    this.#worstSkew = { skew, at: now };
  }
}
