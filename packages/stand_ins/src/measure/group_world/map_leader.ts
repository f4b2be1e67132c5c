import type * as common from "@geraniumkeel/common";
import * as countPlan from "@geraniumkeel/daemon/rank_group/count_plan";
import * as demandModule from "@geraniumkeel/daemon/rank_group/demand";
import * as iterationsAhead from "@geraniumkeel/daemon/rank_group/iterations_ahead";
import * as mapPlanner from "@geraniumkeel/daemon/rank_group/map_planner";
import type * as wire from "@geraniumkeel/wire";
import * as deployment from "./deployment.ts";
import type * as groupEngines from "./group_engines.ts";
import type * as groupRun from "./group_run.ts";
import * as orderBytes from "./order_bytes.ts";

/** Time until a reading is at the leader. */
const WAY_MILLISECONDS = 12;
/** How often the leader weighs whether a new map pays. */
const LOOK_MILLISECONDS = 50;
/** Time to plan, and to see in an engine's state that a map is loaded. */
const ORDER_MILLISECONDS = 60;
/** Time to arm all ranks, one stage after the other. */
const ARM_MILLISECONDS = 100;
/** Longest pause between two events that is in time. */
const GAP_MILLISECONDS = 120;

/** A map that is being loaded. */
interface NextMap {
  places: number[][][];
  /** Shifts of demand seen when it was planned. */
  shifts: number;
  /** From when the ranks load it, and when the last of them has. */
  orderedAt: number;
  loadedAt: number;
  /** Passes that still begin with the old map; -1 before it is loaded. */
  passesLeft: number;
}

/** The leader of a group as the product decides, without its messages. */
export class MapLeader implements groupRun.MapPolicy {
  readonly #demand: demandModule.Demand;
  readonly #lastRead: number[][] = [];
  #reading = false;
  #lookedAt = -Infinity;
  #next: NextMap | undefined;
  #step = 0;
  readonly #planner: mapPlanner.MapPlanner;
  readonly #lead = new iterationsAhead.IterationsAhead();
  copies = 0;
  switches = 0;

  constructor(
    readonly run: groupRun.GroupRun,
    readonly random: common.Random,
  ) {
    const { size } = run.day;
    this.#demand = new demandModule.Demand(size.expertsPerLayer);
    this.#lead.noteArming(ARM_MILLISECONDS);
    this.#planner = new mapPlanner.MapPlanner({
      ranks: size.ranks,
      shape: deployment.shapeOf(size),
      gapMilliseconds: GAP_MILLISECONDS,
      demand: this.#demand,
    });
  }

  /** Reads, loads, switches and plans, as far as it is time for it. */
  onPass(engines: groupEngines.GroupEngines, now: number): void {
    this.#step++;
    this.#lead.noteIteration(this.#step, now);
    if (!this.#reading) this.#startReading(engines);
    if (this.#next) return this.#goOn(this.#next, engines, now);
    if (now - this.#lookedAt < LOOK_MILLISECONDS) return;
    this.#lookedAt = now;
    if (this.#planner.isDue(now)) this.#plan(engines, now);
  }

  #startReading(engines: groupEngines.GroupEngines): void {
    this.#reading = true;
    const { size } = this.run.day;
    const { reporters: tellers, periodMilliseconds } = countPlan.planCounts({
      linkedRanks: Array.from({ length: size.ranks }, (_, rank) => rank),
      countsPerReading: size.layers * size.expertsPerLayer,
      linkBytesPerSecond: size.linkBytesPerMillisecond * 1_000,
    });
    for (const rank of tellers) {
      const first = this.random.between(0, periodMilliseconds);
      this.run.time.schedule(first, () =>
        this.#read(engines, rank, periodMilliseconds),
      );
    }
  }

  #read(
    engines: groupEngines.GroupEngines,
    rank: number,
    periodMilliseconds: number,
  ): void {
    const { time } = this.run;
    const now = time.clock();
    const counts = engines.chosen[rank].flat();
    const before = this.#lastRead[rank] ?? [];
    this.#lastRead[rank] = counts;
    const fresh = counts.map((count, index) => count - (before[index] ?? 0));
    if (fresh.some((count) => count > 0)) {
      const at = now + WAY_MILLISECONDS;
      time.schedule(at, () => this.#demand.add(rank, fresh, at));
    }
    const period = periodMilliseconds * this.random.between(0.9, 1.1);
    time.schedule(now + period, () =>
      this.#read(engines, rank, periodMilliseconds),
    );
  }

  #goOn(next: NextMap, engines: groupEngines.GroupEngines, now: number): void {
    engines.loading = now >= next.orderedAt && now < next.loadedAt;
    if (next.passesLeft < 0 && this.#isOutdated(next, now)) {
      engines.loading = false;
      this.#next = undefined;
      return;
    }
    if (now < next.loadedAt) return;
    if (next.passesLeft < 0) next.passesLeft = this.#lead.count;
    next.passesLeft--;
    if (next.passesLeft > 0) return;
    engines.places = next.places;
    this.#next = undefined;
  }

  #isOutdated({ shifts }: NextMap, now: number): boolean {
    this.#demand.detectShift(now);
    return this.#demand.shifts !== shifts;
  }

  #plan(engines: groupEngines.GroupEngines, now: number): void {
    const { size } = this.run.day;
    const statuses = statusesOf(engines);
    const { places: base } = engines;
    const planned = this.#planner.plan(now, statuses, base);
    if (!planned) return;
    const { plan } = planned;
    this.copies += plan.copies;
    this.switches++;
    const bytes = orderBytes.orderBytes(base, plan.places, size.ranks);
    const sending = bytes / size.linkBytesPerMillisecond;
    const orderedAt = now + ORDER_MILLISECONDS / 2 + sending / 2;
    const loading = plan.mostCopiesOfRank * size.copyMilliseconds;
    const loadedAt = now + ORDER_MILLISECONDS + sending + loading;
    const { places } = plan;
    const { shifts } = this.#demand;
    this.#next = { places, shifts, orderedAt, loadedAt, passesLeft: -1 };
  }
}

function statusesOf(engines: groupEngines.GroupEngines): wire.RankStatus[] {
  return engines.running.map(({ length }, rank) => ({
    epoch: 1,
    open: true,
    active: length,
    waiting: engines.waiting[rank].length,
    step: 0,
    mapVersion: 1,
    preparedVersion: 0,
    armedVersion: 0,
    armedStep: 0,
    heldStep: -1,
  }));
}
