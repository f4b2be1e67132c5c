import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as planPlacement from "../placement/plan_placement.ts";
import * as demandModule from "./demand.ts";
import type * as rankPort from "./rank_port.ts";
import * as insistOrder from "./insist_order.ts";
import * as leadSteps from "./lead_steps.ts";
import * as mapDifference from "./map_difference.ts";
import * as mapPlanner from "./map_planner.ts";
import * as settleGroup from "./settle_group.ts";
import * as switchGroup from "./switch_group.ts";

/** How often it is looked whether demand has shifted, in milliseconds. */
const LOOK_MILLISECONDS = 50;
/** Versions of maps are times, so that no two leaders use one for two maps. */
const VERSIONS_PER_MILLISECOND = 64;

/** What leading a group needs. */
export interface GroupLeaderParameters {
  identity: wire.RankIdentity;
  ports: rankPort.LinkedRank[];
  own: rankPort.LinkedRank;
  shape: traffic.EngineShape;
  /** Longest pause between two events that is in time; 0 if none is told. */
  gapMilliseconds: number;
  /** Demand as this process saw it; it may know it from a term before. */
  demand: demandModule.Demand;
  /** Whether this process still leads this forming of the group. */
  valid: () => boolean;
  onSuperseded: (detail: string) => void;
  /** Tells all ranks what is about to be held, and where. */
  announceHold: (holder: number, step: number) => void;
  /** Holds of this forming of the group that this process was told of. */
  announced: () => readonly wire.HoldNotice[];
  /** A map of an earlier order, if this process remembers it. */
  rememberedMap: (version: number) => wire.RankMap | undefined;
  logger: common.Logger;
}

/** Keeps the map of one group close to demand, while its process leads it. */
export class GroupLeader {
  /** Map in force, and its version. */
  #map: wire.RankMap | undefined;
  #mapVersion = -1;
  #lastVersion = 0;
  #switching = false;
  readonly #planner: mapPlanner.MapPlanner;
  readonly #lead = new leadSteps.LeadSteps();
  /** When it was last looked for a shift of demand. */
  #lookedAt = -Infinity;
  /** How settling ended last; waiting for a rank is told once. */
  #lastSettlement = "";

  constructor(readonly parameters: GroupLeaderParameters) {
    const { identity, shape, gapMilliseconds, demand } = parameters;
    this.#planner = new mapPlanner.MapPlanner({
      ranks: identity.size,
      shape,
      gapMilliseconds,
      demand,
    });
  }

  /** Whether a switch is under way. */
  get switching(): boolean {
    return this.#switching;
  }

  /** Takes what a rank counted, layer after layer. */
  count(rank: number, chosen: number[]): void {
    this.parameters.demand.add(rank, chosen, common.now());
  }

  /** Leads until it is no longer valid. */
  async lead(signal: AbortSignal): Promise<void> {
    const { valid, ports } = this.parameters;
    while (!signal.aborted && valid()) {
      this.#notePass();
      const heard = ports.every((port) => port.fresh);
      if (settleGroup.isHeld(ports)) await this.#settle();
      else if (heard) await this.#improve();
      else await this.#refreshSilent();
      await common.sleep(LOOK_MILLISECONDS, signal);
    }
  }

  /** Reads ranks whose process says nothing from their engines. */
  async #refreshSilent(): Promise<void> {
    const silent = this.parameters.ports.filter((port) => !port.fresh);
    await Promise.all(silent.map((port) => port.refresh()));
  }

  async #settle(): Promise<void> {
    const { ports, valid, logger, identity, announced } = this.parameters;
    const { kind, detail } = await settleGroup.settleGroup({
      ports,
      valid,
      pause: insistOrder.shortPause,
      announced: announced(),
      spare: () => this.#spareMap(),
    });
    this.#mapVersion = -1;
    const outcome = `${kind} ${detail}`;
    const told = outcome === this.#lastSettlement;
    this.#lastSettlement = outcome;
    if (told || kind === settleGroup.SettlementKind.Nothing) return;
    const { group, epoch } = identity;
    const code = common.EventCode.MapSwitchRecovered;
    logger.event(code, { group, epoch, kind, detail });
  }

  /** The map in force, or else the last one prepared, under a new version. */
  async #spareMap(): Promise<settleGroup.SpareMap | undefined> {
    const { own, rememberedMap } = this.parameters;
    const { mapVersion = 0, preparedVersion = 0 } = own.status ?? {};
    const map =
      rememberedMap(mapVersion) ??
      rememberedMap(preparedVersion) ??
      (await this.#currentMap());
    return map && { version: this.#nextVersion(), map };
  }

  async #improve(): Promise<void> {
    const { ports, shape, identity } = this.parameters;
    const armed = ports.some(({ status }) => (status?.armedVersion ?? 0) > 0);
    if (armed || !this.#planner.isDue(common.now())) return;
    const map = await this.#currentMap();
    if (!map) return;
    const startedAt = common.now();
    const planned = this.#planner.plan(
      startedAt,
      ports.flatMap(({ status }) => (status ? [status] : [])),
      mapDifference.placesOf(map, shape.expertsPerLayer),
    );
    if (!planned) return;
    const planMilliseconds = common.now() - startedAt;
    const { distance, shifts } = this.parameters.demand;
    const before = { distance, shifts, planMilliseconds };
    const version = this.#nextVersion();
    const next = mapDifference.mapOf(planned.plan.places, identity.size);
    const outcome = await this.#switchTo(next, version, map);
    this.#log(version, planned, before, outcome);
    switch (outcome.kind) {
      case switchGroup.GroupSwitchKind.Done:
        this.#map = next;
        this.#mapVersion = version;
        return;
      case switchGroup.GroupSwitchKind.Outdated:
        return;
      case switchGroup.GroupSwitchKind.Superseded:
        return this.parameters.onSuperseded(outcome.detail);
      case switchGroup.GroupSwitchKind.GivenUp:
      case switchGroup.GroupSwitchKind.Unfinished:
        this.#mapVersion = -1;
    }
  }

  async #switchTo(
    next: wire.RankMap,
    version: number,
    map: wire.RankMap,
  ): Promise<switchGroup.GroupSwitchOutcome> {
    const { ports, own, shape, valid, demand, announceHold } = this.parameters;
    const { shifts } = demand;
    const holder = this.#chooseHolder();
    this.#switching = true;
    const outcome = await switchGroup.switchGroup({
      ports,
      own,
      holder,
      version,
      map: next,
      base: { version: this.#mapVersion, map },
      copyMilliseconds: shape.copyMilliseconds,
      leadSteps: () => this.#leadStepsNow(),
      valid,
      outdated: () => this.#hasShiftedSince(shifts),
      announceHold: (step) => announceHold(holder.rank, step),
      pause: insistOrder.shortPause,
    });
    this.#switching = false;
    if (own.status?.mapVersion === version) {
      for (const port of ports) port.noteSwitched(version);
    }
    if (outcome.armMilliseconds > 0) {
      this.#lead.noteArming(outcome.armMilliseconds);
    }
    return outcome;
  }

  #log(
    version: number,
    { plan, strain }: mapPlanner.PlannedMap,
    before: { distance: number; shifts: number; planMilliseconds: number },
    outcome: switchGroup.GroupSwitchOutcome,
  ): void {
    const { identity, demand, logger } = this.parameters;
    const { group, epoch, size } = identity;
    const skewNow = planPlacement.skewOf([...demand.load], plan.places, size);
    logger.event(eventOf(outcome.kind), {
      group,
      epoch,
      version,
      distance: rounded(before.distance),
      shifts: before.shifts,
      strain: rounded(strain),
      copies: plan.copies,
      mostCopiesOfRank: plan.mostCopiesOfRank,
      skewBefore: rounded(plan.skewBefore),
      skewAfter: rounded(plan.skewAfter),
      skewNow: rounded(skewNow),
      planMilliseconds: Math.round(before.planMilliseconds),
      prepareMilliseconds: Math.round(outcome.prepareMilliseconds),
      lastToLoad: outcome.lastToLoad,
      armMilliseconds: Math.round(outcome.armMilliseconds),
      kind: outcome.kind,
      detail: outcome.detail,
    });
  }

  #notePass(): void {
    const { step = 0 } = this.parameters.own.status ?? {};
    this.#lead.noteStep(step, common.now());
  }

  /** While a map was loaded passes have become longer, or shorter. */
  #leadStepsNow(): number {
    this.#notePass();
    return this.#lead.steps;
  }

  /** Whether demand has shifted once more since so many shifts were seen. */
  #hasShiftedSince(shifts: number): boolean {
    const { demand } = this.parameters;
    const now = common.now();
    if (now - this.#lookedAt >= LOOK_MILLISECONDS) {
      this.#lookedAt = now;
      demand.noticeShift(now);
    }
    return demand.shifts !== shifts;
  }

  /** The map in force, read from the ranks unless this leader made it. */
  async #currentMap(): Promise<wire.RankMap | undefined> {
    const { ports } = this.parameters;
    const versions = ports.map(({ status }) => status?.mapVersion);
    if (versions.some((version) => version !== versions[0])) return undefined;
    if (this.#mapVersion === versions[0]) return this.#map;
    const lists = await Promise.all(ports.map((port) => port.lists()));
    const same = lists.every((one) => one?.version === versions[0]);
    if (!same) return undefined;
    const layers = lists[0]?.experts.length ?? 0;
    this.#map = Array.from({ length: layers }, (_, layer) =>
      lists.map((one) => one?.experts[layer] ?? []),
    );
    this.#mapVersion = versions[0] ?? -1;
    return this.#map;
  }

  /**
   * The rank at which passes are held: one whose process is there, as it releases
   * the pass for nothing, and takes over at once if this host freezes meanwhile.
   */
  #chooseHolder(): rankPort.LinkedRank {
    const { ports, own } = this.parameters;
    const place = ports.indexOf(own);
    const others = [...ports.slice(place + 1), ...ports.slice(0, place)];
    return others.find((port) => port.linked) ?? others.at(0) ?? own;
  }

  /**
   * A version higher than all that any rank has had, and used by nobody else. Two
   * leaders that both took the next number would each find the other's map prepared
   * and take it for their own: ranks would switch to two maps of one version.
   */
  #nextVersion(): number {
    const { ports, identity } = this.parameters;
    const seen = ports.flatMap(({ status }) =>
      status ? [status.mapVersion, status.preparedVersion] : [],
    );
    const least = Math.max(this.#lastVersion, ...seen) + 1;
    const ofNow = Math.floor(Date.now()) * VERSIONS_PER_MILLISECOND;
    const from = Math.max(least, ofNow);
    const offset = identity.rank - (from % VERSIONS_PER_MILLISECOND);
    const aligned = from + offset;
    this.#lastVersion =
      aligned < from ? aligned + VERSIONS_PER_MILLISECOND : aligned;
    return this.#lastVersion;
  }
}

function eventOf(kind: switchGroup.GroupSwitchKind): common.EventCode {
  return kind === switchGroup.GroupSwitchKind.Done
    ? common.EventCode.MapSwitchCommitted
    : common.EventCode.MapSwitchCancelled;
}

function rounded(figure: number): number {
  return Math.round(figure * 1_000) / 1_000;
}
