import type * as common from "@geraniumkeel/common";
import * as demandModule from "@geraniumkeel/daemon/rank_group/demand";
import * as mapPlanner from "@geraniumkeel/daemon/rank_group/map_planner";
import type * as wire from "@geraniumkeel/wire";
import * as deployment from "./deployment.ts";
import type * as groupEngines from "./group_engines.ts";
import type * as groupRun from "./group_run.ts";

/** How often each rank's choices are read, and when the leader has them. */
const COUNT_MILLISECONDS = 100;
const WAY_MILLISECONDS = 12;
/** How often the leader weighs whether a new map pays. */
const LOOK_MILLISECONDS = 50;
/** Time of a switch beside loading: orders, readings, and two passes ahead. */
const SWITCH_MILLISECONDS = 170;
/** Longest pause between two events that is in time. */
const GAP_MILLISECONDS = 120;

/** A map that is being loaded. */
interface NextMap {
  places: number[][][];
  loadedAt: number;
  switchAt: number;
}

/** The leader of a group as the product decides, without its messages. */
export class MapLeader implements groupRun.MapPolicy {
  readonly #demand: demandModule.Demand;
  readonly #lastRead: number[][] = [];
  #reading = false;
  #lookedAt = -Infinity;
  #next: NextMap | undefined;
  readonly #planner: mapPlanner.MapPlanner;
  copies = 0;
  switches = 0;

  constructor(
    readonly run: groupRun.GroupRun,
    readonly random: common.Random,
  ) {
    const { size } = run.day;
    this.#demand = new demandModule.Demand(size.expertsPerLayer);
    this.#planner = new mapPlanner.MapPlanner({
      ranks: size.ranks,
      shape: deployment.shapeOf(size),
      gapMilliseconds: GAP_MILLISECONDS,
      demand: this.#demand,
    });
  }

  /** Reads, loads, switches and plans, as far as it is time for it. */
  onPass(engines: groupEngines.GroupEngines, now: number): void {
    if (!this.#reading) this.#startReading(engines);
    if (this.#next) return this.#goOn(this.#next, engines, now);
    if (now - this.#lookedAt < LOOK_MILLISECONDS) return;
    this.#lookedAt = now;
    if (this.#planner.isDue(now)) this.#plan(engines, now);
  }

  #startReading(engines: groupEngines.GroupEngines): void {
    this.#reading = true;
    for (let rank = 0; rank < this.run.day.size.ranks; rank++) {
      const first = this.random.between(0, COUNT_MILLISECONDS);
      this.run.time.schedule(first, () => this.#read(engines, rank));
    }
  }

  #read(engines: groupEngines.GroupEngines, rank: number): void {
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
    const period = COUNT_MILLISECONDS * this.random.between(0.9, 1.1);
    time.schedule(now + period, () => this.#read(engines, rank));
  }

  #goOn(next: NextMap, engines: groupEngines.GroupEngines, now: number): void {
    engines.loading = now < next.loadedAt;
    if (now < next.switchAt) return;
    engines.places = next.places;
    this.#next = undefined;
  }

  #plan(engines: groupEngines.GroupEngines, now: number): void {
    const { size } = this.run.day;
    const statuses = statusesOf(engines);
    const planned = this.#planner.plan(now, statuses, engines.places);
    if (!planned) return;
    const { plan } = planned;
    this.copies += plan.copies;
    this.switches++;
    const loading = plan.mostCopiesOfRank * size.copyMilliseconds;
    const { places } = plan;
    const loadedAt = now + loading;
    const switchAt = loadedAt + SWITCH_MILLISECONDS;
    engines.loading = true;
    this.#next = { places, loadedAt, switchAt };
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
