import * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as deferPlacement from "../placement/defer_placement.ts";
import * as hourShape from "../forecast/hour_shape.ts";
import * as placementDecision from "../placement/placement_decision.ts";
import * as surgeClock from "../forecast/surge_clock.ts";
import type * as leaseModule from "../lease/lease.ts";
import * as groupTerm from "./group_term.ts";
import * as inspectGroup from "./inspect_group.ts";
import type * as mapStore from "./map_store.ts";
import type * as rankPort from "./rank_port.ts";
import * as switchMap from "./switch_map.ts";
import * as takeOver from "./take_over.ts";

/** What coordinating a group needs. */
export interface GroupCoordinatorParameters {
  group: string;
  lease: leaseModule.Lease;
  maps: mapStore.MapStore;
  /** All ranks, or `undefined` while some are not linked. */
  rankPorts: () => rankPort.RankPort[] | undefined;
  experts: () => configuration.Experts | undefined;
  preset: () => configuration.Preset | undefined;
  /** Whether a switch may start now, and room for one more. */
  mayStartSwitch: () => boolean;
  onSwitching: (switching: boolean) => void;
  logger: common.Logger;
  history: common.HistoryRecorder;
  host: string;
  renewIntervalMilliseconds: number;
}

const TAKE_OVER_RETRY_MILLISECONDS = 500;
/** Steps between arming and the switch; all ranks arm in well under that. */
const MIN_LEAD_ITERATIONS = 30;
/** Time for a switch under way to end when its term does. */
const FINISH_TIMEOUT_MILLISECONDS = 3_000;
/** Maps made in one term have versions of their own. */
const VERSIONS_PER_TERM = 1_000_000;

/** When a coordinator is to end. */
export interface CoordinatorSignals {
  /** Another entry coordinates the group now, or this one closes. */
  stopping: AbortSignal;
  /** This process closes: nothing can be ordered any more. */
  closing: AbortSignal;
}

/** A term under way. */
interface RunningTerm {
  fencing: number;
  stop: AbortController;
  abandon: AbortController;
  ended: Promise<void>;
}

/** What a term runs under. */
interface TermParameters {
  fencing: number;
  /** Begin nothing more. */
  stopping: AbortSignal;
  /** Give up what is under way too. */
  abandoning: AbortSignal;
}

/** Coordinates one group while this entry holds its lease. */
export class GroupCoordinator {
  readonly #hourlyLoad = new hourShape.HourShape();
  readonly #surgeClock = new surgeClock.SurgeClock();
  #lastPlan: placementDecision.PlacementDecision | undefined;
  #committedSwitches = 0;
  /** The term under way. */
  #term: RunningTerm | undefined;

  constructor(readonly parameters: GroupCoordinatorParameters) {}

  /** What the state dump says of the group. */
  describe(): unknown {
    const { lease, group } = this.parameters;
    const { fencing } = lease;
    const lastPlan = this.#lastPlan;
    const term = this.#term?.fencing;
    return {
      group,
      fencing,
      term,
      switches: this.#committedSwitches,
      lastPlan,
    };
  }

  /** Holds the lease and coordinates, term by term. */
  async run(signals: CoordinatorSignals): Promise<void> {
    const { lease, renewIntervalMilliseconds } = this.parameters;
    const { stopping } = signals;
    while (!stopping.aborted) {
      const fencing = await lease.renew();
      if (this.#term && this.#term.fencing !== fencing) {
        await this.#endTerm();
        // The lease may have lapsed and still be ours. The next term needs a
        // number of its own: versions of maps are made of it, and one version
        // with two maps would have a rank take the second for done.
        await lease.release();
      } else if (fencing !== undefined) {
        this.#term ??= this.#beginTerm(fencing, signals);
      }
      await common.sleep(renewIntervalMilliseconds, stopping);
    }
    await this.#endTerm();
    await lease.release();
  }

  #beginTerm(fencing: number, signals: CoordinatorSignals): RunningTerm {
    const { logger, group } = this.parameters;
    logger.event(common.EventCode.CoordinatorChanged, { group, fencing });
    const stop = new AbortController();
    const abandon = new AbortController();
    const ended = this.#runTerm({
      fencing,
      stopping: AbortSignal.any([signals.stopping, stop.signal]),
      abandoning: AbortSignal.any([signals.closing, abandon.signal]),
    });
    return { fencing, stop, abandon, ended };
  }

  /**
   * Lets a switch under way come to its end: given up between "arm" and "go", it
   * would have the whole group hold until a successor has taken over. Safe
   * without the lease, as a successor's higher number ends it at once.
   */
  async #endTerm(): Promise<void> {
    const term = this.#term;
    if (!term) return;
    term.stop.abort();
    await common.withTimeout(term.ended, FINISH_TIMEOUT_MILLISECONDS);
    term.abandon.abort();
    await term.ended;
    this.#term = undefined;
  }

  async #runTerm(parameters: TermParameters): Promise<void> {
    const { fencing, stopping, abandoning } = parameters;
    let count = 0;
    while (!stopping.aborted) {
      const term = await this.#takeOver(fencing, abandoning);
      if (term === "superseded") {
        // A higher number was promised while the lease looks held. Keeping the
        // lease would leave the group with a coordinator that no rank obeys;
        // given up, it is taken again by someone, under a higher number.
        return this.parameters.lease.release();
      }
      if (term === undefined) {
        await common.sleep(TAKE_OVER_RETRY_MILLISECONDS, stopping);
        continue;
      }
      while (!stopping.aborted) {
        await common.sleep(this.#periodMilliseconds(), stopping);
        if (stopping.aborted) return;
        const version = fencing * VERSIONS_PER_TERM + ++count;
        if (!(await this.#rebalance(term, version))) break;
      }
    }
  }

  #periodMilliseconds(): number {
    const seconds = this.parameters.preset()?.placement.periodSeconds ?? 30;
    return seconds * 1_000;
  }

  /** Has all ranks promise and settles what a predecessor left. */
  async #takeOver(
    fencing: number,
    signal: AbortSignal,
  ): Promise<groupTerm.GroupTerm | "superseded" | undefined> {
    const { group, rankPorts, maps, logger } = this.parameters;
    const ports = rankPorts();
    if (!ports) return undefined;
    const term = new groupTerm.GroupTerm({ group, fencing, ports, signal });
    const readMap = (version: number) => maps.read(group, version);
    const outcome = await takeOver.takeOver({ term, readMap });
    switch (outcome.kind) {
      case "superseded":
        // The table may have forgotten the number that the ranks remember.
        this.parameters.lease.outdo(outcome.promisedFencing);
        return "superseded";
      case "unreached":
        return undefined;
      case "ready": {
        const { version, recovered } = outcome;
        if (recovered !== "nothing") {
          const code = common.EventCode.MapSwitchRecovered;
          logger.event(code, { group, version, recovered });
        }
        return term;
      }
    }
  }

  /** One look at the group and what follows; false to take over anew. */
  async #rebalance(
    term: groupTerm.GroupTerm,
    version: number,
  ): Promise<boolean> {
    const { experts, preset, mayStartSwitch } = this.parameters;
    const ranks = term.sessions.length;
    const inspection = await inspectGroup.inspectGroup(term);
    if (!inspection || inspection.version === undefined || inspection.held)
      return false;
    const expertSettings = experts();
    const inForce = preset();
    if (!expertSettings || !inForce?.placement.enabled) return true;
    const seconds = inForce.placement.periodSeconds;
    const load = perSecond(inspection.tokens, seconds);
    if (!hasLoad(load)) return true;
    const now = Date.now();
    this.#hourlyLoad.observe(load, now);
    this.#surgeClock.observe(tokensPerSecondOf(load), now);
    const horizonMilliseconds = inForce.placement.horizonSeconds * 1_000;
    const forecast =
      this.#hourlyLoad.forecast(now, horizonMilliseconds) ?? load;
    if (!mayStartSwitch()) return true;
    const { places } = inspection;
    const decision = await placementDecision.decidePlacement({
      load: forecast,
      places,
      ranks,
      experts: expertSettings,
      placement: inForce.placement,
    });
    this.#lastPlan = decision;
    this.#logDecision(decision);
    if (decision.kind === "keep") return true;
    const clock = this.#surgeClock;
    if (deferPlacement.isDeferred({ decision, clock, wallMilliseconds: now })) {
      const { group, logger } = this.parameters;
      const { netMilliseconds } = decision;
      const code = common.EventCode.PlacementHeldBack;
      logger.event(code, { group, netMilliseconds });
      return true;
    }
    return this.#switch({
      term,
      inForce: { version: inspection.version, places },
      map: { version, places: inRankOrder(decision.places) },
      experts: expertSettings,
    });
  }

  async #switch(parameters: {
    term: groupTerm.GroupTerm;
    inForce: wire.ExpertMap;
    map: wire.ExpertMap;
    experts: configuration.Experts;
  }): Promise<boolean> {
    const { term, inForce, map, experts } = parameters;
    const { group, maps, logger, history, host, onSwitching } = this.parameters;
    const { version } = map;
    if (!(await maps.write(group, map))) return true;
    logger.event(common.EventCode.MapSwitchStarted, { group, version });
    onSwitching(true);
    const outcome = await switchMap.switchMap({
      term,
      map,
      changes: wire.changesBetween(inForce, map),
      mode:
        experts.switching === "at-step"
          ? switchMap.SwitchMode.AtIteration
          : switchMap.SwitchMode.HoldAll,
      minLeadIterations: MIN_LEAD_ITERATIONS,
    });
    onSwitching(false);
    const { kind: ended } = outcome;
    history.record({ kind: "switch", host, group, version, ended });
    const { detail } = outcome;
    switch (outcome.kind) {
      case switchMap.SwitchOutcomeKind.Committed:
        this.#committedSwitches++;
        logger.event(common.EventCode.MapSwitchCommitted, { group, version });
        return true;
      case switchMap.SwitchOutcomeKind.Cancelled:
        logger.event(common.EventCode.MapSwitchCancelled, { group, detail });
        return true;
      case switchMap.SwitchOutcomeKind.Superseded:
      case switchMap.SwitchOutcomeKind.Unfinished:
        logger.event(common.EventCode.MapSwitchCancelled, { group, detail });
        return false;
    }
  }

  #logDecision(decision: placementDecision.PlacementDecision): void {
    const { logger, group } = this.parameters;
    const { skewBefore, skewAfter, changes, megabytes } = decision;
    const { savedMilliseconds, netMilliseconds } = decision;
    const code =
      decision.kind === "keep"
        ? common.EventCode.PlacementSkipped
        : common.EventCode.PlacementPlanned;
    logger.event(code, {
      group,
      skewBefore,
      skewAfter,
      changes,
      megabytes,
      savedMilliseconds,
      netMilliseconds,
    });
  }
}

function perSecond(tokens: number[][], seconds: number): number[][] {
  return tokens.map((layer) => layer.map((count) => count / seconds));
}

/** Replicas of each expert by rank, as the ranks' own reports give them. */
function inRankOrder(places: wire.ExpertPlaces): wire.ExpertPlaces {
  return places.map((layer) =>
    layer.map((ranks) => [...ranks].sort((left, right) => left - right)),
  );
}

/** Tokens a second through the experts of one layer, the first. */
function tokensPerSecondOf(load: number[][]): number {
  return load[0]?.reduce((sum, rate) => sum + rate, 0) ?? 0;
}

function hasLoad(load: number[][]): boolean {
  return load.some((layer) => layer.some((rate) => rate > 0));
}
