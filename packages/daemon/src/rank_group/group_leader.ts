import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as planQuick from "../placement/plan_quick.ts";
import * as planPlacement from "../placement/plan_placement.ts";
import * as demandModule from "./demand.ts";
import type * as rankPort from "./rank_port.ts";
import * as switchGroup from "./switch_group.ts";
import * as worthOfCopy from "./worth_of_copy.ts";

/** How often it is weighed whether a new map pays, in milliseconds. */
const LOOK_MILLISECONDS = 80;
/**
 * Part by which a plan must lower the time of the slowest ranks. Loading slows
 * passes by a sixth for a third of a second; a gain of 7% repays that in 0.8 s.
 */
const LEAST_GAIN_SHARE = 0.07;
/** Experts that a rank loads at most for one map: 0.3 s at 50 ms each. */
const COPIES_PER_RANK = 6;

/** What leading a group needs. */
export interface GroupLeaderParameters {
  identity: wire.RankIdentity;
  ports: rankPort.LinkedRank[];
  own: rankPort.LinkedRank;
  shape: traffic.EngineShape;
  /** Demand as this process saw it; it may know it from a term before. */
  demand: demandModule.Demand;
  /** Whether this process still leads this forming of the group. */
  valid: () => boolean;
  onSuperseded: (detail: string) => void;
  logger: common.Logger;
}

/** Keeps the map of one group close to demand, while its process leads it. */
export class GroupLeader {
  /** Map in force, and its version. */
  #map: wire.RankMap | undefined;
  #mapVersion = -1;
  #lastVersion = 0;
  #switching = false;

  constructor(readonly parameters: GroupLeaderParameters) {}

  /** Whether a switch is under way. */
  get switching(): boolean {
    return this.#switching;
  }

  /** Takes what a rank counted, layer after layer. */
  count(chosen: number[]): void {
    this.parameters.demand.add(chosen, common.now());
  }

  /** Leads until it is no longer valid. */
  async lead(signal: AbortSignal): Promise<void> {
    const { valid, ports } = this.parameters;
    while (!signal.aborted && valid()) {
      const heard = ports.every((port) => port.fresh);
      if (!heard) await this.#refreshSilent();
      else if (switchGroup.needsSettling(ports)) await this.#settle();
      else await this.#improve();
      await common.sleep(LOOK_MILLISECONDS, signal);
    }
  }

  /** Reads ranks whose process says nothing from their engines. */
  async #refreshSilent(): Promise<void> {
    const silent = this.parameters.ports.filter((port) => !port.fresh);
    await Promise.all(silent.map((port) => port.refresh()));
  }

  async #settle(): Promise<void> {
    const { ports, valid, logger, identity } = this.parameters;
    const stopped = await switchGroup.settleGroup(ports, valid);
    const { group } = identity;
    const detail = stopped?.detail ?? "";
    logger.event(common.EventCode.MapSwitchRecovered, { group, detail });
    this.#mapVersion = -1;
    await Promise.all(ports.map((port) => port.refresh()));
  }

  async #improve(): Promise<void> {
    const { ports, identity, shape, logger, own, valid } = this.parameters;
    const { demand } = this.parameters;
    const armed = ports.some(({ status }) => (status?.armedVersion ?? 0) > 0);
    if (armed || !demand.known) return;
    demand.noticeShift();
    const map = await this.#currentMap();
    if (!map) return;
    const statuses = ports.flatMap(({ status }) => (status ? [status] : []));
    const fullness = worthOfCopy.fullnessOf(statuses, shape.slots);
    const places = placesOf(map, shape.expertsPerLayer);
    const startedAt = common.now();
    const plan = planQuick.planQuick({
      ranks: identity.size,
      slots: shape.expertSlots,
      load: demand.load,
      places,
      leastGainOfCopy: worthOfCopy.leastGainOfCopy(fullness),
      copiesPerRank: COPIES_PER_RANK,
      copiesPerRankAndLayer: shape.spareSlots,
    });
    const { distance } = demand;
    const share = 1 - plan.skewAfter / plan.skewBefore;
    if (plan.copies === 0 || share < LEAST_GAIN_SHARE) return;
    const planMilliseconds = common.now() - startedAt;
    const next = mapOf(plan.places, identity.size);
    const version = this.#nextVersion();
    this.#switching = true;
    const outcome = await switchGroup.switchGroup({
      ports,
      own,
      version,
      map: next,
      valid,
    });
    this.#switching = false;
    logger.event(eventOf(outcome.kind), {
      group: identity.group,
      epoch: identity.epoch,
      version,
      distance: rounded(distance),
      shifts: demand.shifts,
      fullness: rounded(fullness),
      copies: plan.copies,
      mostCopiesOfRank: plan.mostCopiesOfRank,
      skewBefore: rounded(plan.skewBefore),
      skewAfter: rounded(plan.skewAfter),
      skewNow: rounded(
        planPlacement.skewOf([...demand.load], plan.places, identity.size),
      ),
      planMilliseconds: Math.round(planMilliseconds),
      prepareMilliseconds: Math.round(outcome.prepareMilliseconds),
      armMilliseconds: Math.round(outcome.armMilliseconds),
      detail: outcome.detail,
    });
    switch (outcome.kind) {
      case switchGroup.GroupSwitchKind.Done:
        this.#map = next;
        this.#mapVersion = version;
        return;
      case switchGroup.GroupSwitchKind.Superseded:
        return this.parameters.onSuperseded(outcome.detail);
      case switchGroup.GroupSwitchKind.GivenUp:
      case switchGroup.GroupSwitchKind.Unfinished:
        this.#mapVersion = -1;
    }
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

  /** A version higher than all that any rank has had. */
  #nextVersion(): number {
    const { ports } = this.parameters;
    const seen = ports.flatMap(({ status }) =>
      status ? [status.mapVersion, status.preparedVersion] : [],
    );
    this.#lastVersion = Math.max(this.#lastVersion, ...seen) + 1;
    return this.#lastVersion;
  }
}

function eventOf(kind: switchGroup.GroupSwitchKind): common.EventCode {
  return kind === switchGroup.GroupSwitchKind.Done
    ? common.EventCode.MapSwitchCommitted
    : common.EventCode.MapSwitchCancelled;
}

/** Ranks of each expert, from the experts of each rank. */
function placesOf(map: wire.RankMap, experts: number): number[][][] {
  return map.map((layer) => {
    const places = Array.from({ length: experts }, (): number[] => []);
    layer.forEach((ofRank, rank) => {
      for (const expert of ofRank) places[expert].push(rank);
    });
    return places;
  });
}

/** Experts of each rank, from the ranks of each expert. */
function mapOf(places: number[][][], ranks: number): wire.RankMap {
  return places.map((layer) => {
    const map = Array.from({ length: ranks }, (): number[] => []);
    layer.forEach((ofExpert, expert) => {
      for (const rank of ofExpert) map[rank].push(expert);
    });
    return map;
  });
}

function rounded(figure: number): number {
  return Math.round(figure * 1_000) / 1_000;
}
