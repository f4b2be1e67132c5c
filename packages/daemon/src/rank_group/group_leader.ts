import * as common from "@geraniumkeel/common";
import type * as traffic from "@geraniumkeel/traffic";
import type * as wire from "@geraniumkeel/wire";
import * as planPlacement from "../placement/plan_placement.ts";
import * as demandModule from "./demand.ts";
import type * as linkedRank from "./linked_rank.ts";
import * as orderUntilFinal from "./order_until_final.ts";
import * as iterationsAhead from "./iterations_ahead.ts";
import * as mapDifference from "./map_difference.ts";
import * as mapPlanner from "./map_planner.ts";
import * as recoverSwitch from "./recover_switch.ts";
import * as switchGroup from "./switch_group.ts";

/** Interval at which the leader checks its ranks, and demand for a shift. */
const POLL_MILLISECONDS = 50;
/**
 * Share of its ranks that a leader reads directly in one check. If all ranks of a
 * large group are out of date at once, it is the leader that hears late, and reading
 * all of them would make it later.
 */
const MAX_REFRESHED_SHARE = 1 / 8;
/** Ranks that it reads directly in one check however small the group is. */
const MIN_REFRESHED = 8;
/**
 * Versions are derived from the time in milliseconds, and each rank uses its
 * own remainder modulo 64. So two leaders never use the same version for two
 * maps.
 */
const VERSIONS_PER_MILLISECOND = 64;

/** What leading a group needs. */
export interface GroupLeaderParameters {
  identity: wire.RankIdentity;
  handles: linkedRank.LinkedRank[];
  own: linkedRank.LinkedRank;
  shape: traffic.EngineShape;
  /**
   * Longest pause between two events of a stream that still counts as on time,
   * in milliseconds; 0 if no route sets one.
   */
  gapMilliseconds: number;
  /**
   * Demand as this process counted it; may include counts of an earlier term.
   */
  demand: demandModule.Demand;
  /** Bytes per second that the network link of this host carries. */
  linkBytesPerSecond: number;
  /** Whether this process still leads this group epoch. */
  valid: () => boolean;
  onSuperseded: (detail: string) => void;
  /**
   * Notifies all ranks which iteration is about to be held, and by which rank.
   */
  announceHold: (holder: number, step: number) => void;
  /**
   * The notices that this process received in this group epoch, in which a
   * leader notified all ranks which one is to hold which iteration.
   */
  holdNotices: () => readonly wire.HoldNotice[];
  /**
   * The map of a version that this process prepared earlier; `undefined` if it
   * is no longer cached.
   */
  cachedMap: (version: number) => wire.RankMap | undefined;
  logger: common.Logger;
}

/**
 * Leads one group during a term: switches it to a new map whenever demand has
 * moved away from the map in force, and recovers switches that an earlier
 * leader left unfinished.
 */
export class GroupLeader {
  /**
   * The map in force and its version, as far as this leader knows them; version
   * -1 if it has to read them from the ranks.
   */
  #map: wire.RankMap | undefined;
  #mapVersion = -1;
  #lastVersion = 0;
  /** The last iteration that a recovery found held; -1 if none did. */
  #lastHeldStep = -1;
  #switching = false;
  readonly #planner: mapPlanner.MapPlanner;
  readonly #iterationsAhead = new iterationsAhead.IterationsAhead();
  /** Time of the last check whether demand has shifted. */
  #shiftCheckedAt = -Infinity;
  /**
   * Kind and detail of the last recovery. A recovery that repeats, such as one
   * that waits for a rank, is logged once.
   */
  #lastRecovery = "";

  constructor(readonly parameters: GroupLeaderParameters) {
    const { identity, shape, gapMilliseconds, demand } = parameters;
    this.#planner = new mapPlanner.MapPlanner({
      ranks: identity.size,
      shape,
      gapMilliseconds,
      demand,
    });
  }

  /** Whether a switch is in progress. */
  get switching(): boolean {
    return this.#switching;
  }

  /**
   * Adds the activations that a rank counted since its reading before, layer
   * after layer.
   */
  addCounts(rank: number, chosen: number[]): void {
    this.parameters.demand.add(rank, chosen, common.now());
  }

  /** Leads until this process no longer leads the group epoch. */
  async lead(signal: AbortSignal): Promise<void> {
    const { valid, handles } = this.parameters;
    while (!signal.aborted && valid()) {
      this.#noteIteration();
      const allFresh = handles.every((handle) => handle.fresh);
      if (recoverSwitch.isAnyHeld(handles)) await this.#recoverSwitch();
      else if (allFresh) await this.#improveMap();
      else await this.#refreshOutdated();
      await common.sleep(POLL_MILLISECONDS, signal);
    }
  }

  /**
   * Reads the state of ranks directly from their engines if the processes
   * beside them have sent none recently.
   */
  async #refreshOutdated(): Promise<void> {
    const { handles } = this.parameters;
    const share = Math.ceil(handles.length * MAX_REFRESHED_SHARE);
    const most = Math.max(MIN_REFRESHED, share);
    const outdated = handles.filter((handle) => handle.isRefreshDue);
    const refreshed = outdated.slice(0, most);
    await Promise.all(refreshed.map((handle) => handle.refresh()));
  }

  async #recoverSwitch(): Promise<void> {
    const { handles, valid, logger, identity, holdNotices } = this.parameters;
    const { kind, detail, heldStep } = await recoverSwitch.recoverSwitch({
      handles,
      valid,
      pause: orderUntilFinal.shortPause,
      holdNotices: holdNotices(),
      linkBytesPerSecond: this.parameters.linkBytesPerSecond,
      fallback: () => this.#fallbackMap(),
    });
    this.#lastHeldStep = Math.max(this.#lastHeldStep, heldStep);
    this.#mapVersion = -1;
    const outcome = `${kind} ${detail}`;
    const isLogged = outcome === this.#lastRecovery;
    this.#lastRecovery = outcome;
    if (isLogged || kind === recoverSwitch.SwitchRecoveryKind.Nothing) return;
    const { group, epoch } = identity;
    const code = common.EventCode.MapSwitchRecovered;
    logger.event(code, { group, epoch, kind, detail });
  }

  /**
   * A map for the recovery of a switch, under a new version: the map in force
   * if it is cached, or else the prepared one if it is, or else the map in
   * force as read from the ranks.
   */
  async #fallbackMap(): Promise<recoverSwitch.FallbackMap | undefined> {
    const { own, cachedMap: cachedMapOf } = this.parameters;
    const { mapVersion = 0, preparedVersion = 0 } = own.status ?? {};
    const inForce = cachedMapOf(mapVersion);
    const map =
      inForce ?? cachedMapOf(preparedVersion) ?? (await this.#currentMap());
    const base = inForce && { version: mapVersion, map: inForce };
    return map && { version: this.#nextVersion(), map, base };
  }

  /** Plans a new map if one is due, and switches to it if it saves enough. */
  async #improveMap(): Promise<void> {
    const { handles, shape, identity } = this.parameters;
    const armed = handles.some(({ status }) => (status?.armedVersion ?? 0) > 0);
    if (armed || !this.#planner.isDue(common.now())) return;
    const map = await this.#currentMap();
    const statuses = handles.flatMap(({ status }) => (status ? [status] : []));
    // The planner takes paces by rank. Without the status of one rank, the paces
    // of those after it would count for the wrong ranks.
    if (!map || statuses.length < handles.length) return;
    const startedAt = common.now();
    const planned = this.#planner.plan(
      startedAt,
      statuses,
      mapDifference.ranksOfExperts(map, shape.expertsPerLayer),
    );
    if (!planned) return;
    const planMilliseconds = common.now() - startedAt;
    const { distance, shifts } = this.parameters.demand;
    const sinceShiftMilliseconds =
      startedAt - this.parameters.demand.shiftDetectedAt;
    const before = {
      distance,
      shifts,
      sinceShiftMilliseconds,
      planMilliseconds,
    };
    const version = this.#nextVersion();
    const next = mapDifference.expertsOfRanks(
      planned.plan.places,
      identity.size,
    );
    const outcome = await this.#switchTo(next, version, map);
    this.#logSwitch(version, planned, before, outcome);
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
    const { handles, own, shape, valid, demand, announceHold } =
      this.parameters;
    const { shifts } = demand;
    const holder = this.#chooseHolder();
    this.#switching = true;
    const outcome = await switchGroup.switchGroup({
      handles,
      own,
      holder,
      version,
      map: next,
      base: { version: this.#mapVersion, map },
      copyMilliseconds: shape.copyMilliseconds,
      iterationsAhead: () => this.#iterationsAheadNow(),
      minStep: this.#minHoldStep,
      valid,
      linkBytesPerSecond: this.parameters.linkBytesPerSecond,
      outdated: () => this.#hasShiftedSince(shifts),
      announceHold: (step) => announceHold(holder.rank, step),
      pause: orderUntilFinal.shortPause,
    });
    this.#switching = false;
    if (own.status?.mapVersion === version) {
      for (const handle of handles) handle.noteSwitched(version);
    }
    if (outcome.armMilliseconds > 0) {
      this.#iterationsAhead.noteArming(outcome.armMilliseconds);
    }
    return outcome;
  }

  #logSwitch(
    version: number,
    { plan, strain }: mapPlanner.PlannedMap,
    before: {
      distance: number;
      shifts: number;
      /** From the last detected shift to the plan; Infinity without one. */
      sinceShiftMilliseconds: number;
      planMilliseconds: number;
    },
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
      sinceShiftMilliseconds: Number.isFinite(before.sinceShiftMilliseconds)
        ? Math.round(before.sinceShiftMilliseconds)
        : undefined,
      strain: rounded(strain),
      copies: plan.copies,
      mostCopiesOfRank: plan.mostCopiesOfRank,
      skewBefore: rounded(plan.skewBefore),
      skewAfter: rounded(plan.skewAfter),
      skewNow: rounded(skewNow),
      planMilliseconds: Math.round(before.planMilliseconds),
      orderMilliseconds: Math.round(outcome.orderMilliseconds),
      failedRanks: outcome.failedRanks.length,
      firstFailedRank: outcome.failedRanks.at(0),
      prepareMilliseconds: Math.round(outcome.prepareMilliseconds),
      lastToLoad: outcome.lastToLoad,
      holdMilliseconds: Math.round(outcome.holdMilliseconds),
      armMilliseconds: Math.round(outcome.armMilliseconds),
      beginMilliseconds: Math.round(outcome.beginMilliseconds),
      kind: outcome.kind,
      detail: outcome.detail,
    });
  }

  #noteIteration(): void {
    const { step = 0 } = this.parameters.own.status ?? {};
    this.#iterationsAhead.noteIteration(step, common.now());
  }

  /**
   * How many iterations ahead to switch. Measures the current iteration first,
   * because its length may have changed while the ranks loaded the map.
   */
  #iterationsAheadNow(): number {
    this.#noteIteration();
    return this.#iterationsAhead.count;
  }

  /** The first iteration that no known leader of this epoch has held. */
  get #minHoldStep(): number {
    const announced = this.parameters.holdNotices().map(({ step }) => step);
    return Math.max(this.#lastHeldStep, ...announced) + 1;
  }

  /** Whether demand has shifted again since the given number of shifts. */
  #hasShiftedSince(shifts: number): boolean {
    const { demand } = this.parameters;
    const now = common.now();
    if (now - this.#shiftCheckedAt >= POLL_MILLISECONDS) {
      this.#shiftCheckedAt = now;
      demand.detectShift(now);
    }
    return demand.shifts !== shifts;
  }

  /**
   * The map in force. Reads it from the ranks unless this leader switched to
   * it. `undefined` if the ranks do not agree on one, or one of them does not
   * answer.
   */
  async #currentMap(): Promise<wire.RankMap | undefined> {
    const { handles } = this.parameters;
    const versions = handles.map(({ status }) => status?.mapVersion);
    if (versions.some((version) => version !== versions[0])) return undefined;
    if (this.#mapVersion === versions[0]) return this.#map;
    const rankLists = await Promise.all(
      handles.map((handle) => handle.lists()),
    );
    const sameVersion = rankLists.every(
      (list) => list?.version === versions[0],
    );
    if (!sameVersion) return undefined;
    const layers = rankLists[0]?.experts.length ?? 0;
    this.#map = Array.from({ length: layers }, (_, layer) =>
      rankLists.map((list) => list?.experts[layer] ?? []),
    );
    this.#mapVersion = versions[0] ?? -1;
    return this.#map;
  }

  /**
   * The rank that holds the iteration of a switch: if possible one whose
   * process is linked. That process releases the iteration at no cost, and it
   * takes over at once if this host freezes during the switch.
   */
  #chooseHolder(): linkedRank.LinkedRank {
    const { handles, own } = this.parameters;
    const ownIndex = handles.indexOf(own);
    const others = [
      ...handles.slice(ownIndex + 1),
      ...handles.slice(0, ownIndex),
    ];
    return others.find((handle) => handle.linked) ?? others.at(0) ?? own;
  }

  /**
   * A version that is higher than any that a rank has had and that no other
   * process uses. If two leaders both used the next number, each would find the
   * other's map prepared and take it for its own; the ranks would then switch
   * to two different maps of one version.
   */
  #nextVersion(): number {
    const { handles, identity } = this.parameters;
    const seenVersions = handles.flatMap(({ status }) =>
      status
        ? [status.mapVersion, status.preparedVersion, status.armedVersion]
        : [],
    );
    const minVersion = Math.max(this.#lastVersion, ...seenVersions) + 1;
    const ofNow = Math.floor(Date.now()) * VERSIONS_PER_MILLISECOND;
    const lowest = Math.max(minVersion, ofNow);
    const offset = identity.rank - (lowest % VERSIONS_PER_MILLISECOND);
    const aligned = lowest + offset;
    this.#lastVersion =
      aligned < lowest ? aligned + VERSIONS_PER_MILLISECOND : aligned;
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
