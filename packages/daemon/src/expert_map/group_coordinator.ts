import * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as deferPlacement from "../placement/defer_placement.ts";
import * as expertLoadForecast from "../forecast/expert_load_forecast.ts";
import * as placementDecision from "../placement/placement_decision.ts";
import * as surgeForecast from "../forecast/surge_forecast.ts";
import type * as leaseModule from "../lease/lease.ts";
import * as groupTerm from "./group_term.ts";
import * as inspectGroup from "./inspect_group.ts";
import type * as mapStore from "./map_store.ts";
import type * as rankConnection from "./rank_connection.ts";
import * as switchMap from "./switch_map.ts";
import * as takeOver from "./take_over.ts";

/** Dependencies of a group's coordinator. */
export interface GroupCoordinatorParameters {
  group: string;
  /** Lease that lets one entry at a time coordinate the group. */
  lease: leaseModule.Lease;
  maps: mapStore.MapStore;
  /**
   * Connections to all ranks, or `undefined` while a rank cannot be reached.
   */
  rankConnections: () => rankConnection.RankConnection[] | undefined;
  /** Expert settings of the group's service, if it has any. */
  experts: () => configuration.Experts | undefined;
  /** The preset in force, if the entry has a configuration. */
  preset: () => configuration.Preset | undefined;
  /** Whether the entry's limit on simultaneous switches allows one more. */
  mayStartSwitch: () => boolean;
  /** Called with true when a switch starts and with false when it finishes. */
  onSwitching: (switching: boolean) => void;
  logger: common.Logger;
  history: common.HistoryRecorder;
  host: string;
  renewIntervalMilliseconds: number;
}

/** Pause before the next try to take over a group that was not reached. */
const TAKE_OVER_RETRY_MILLISECONDS = 500;
/**
 * Least number of iterations between the order to arm and the iteration that
 * first uses the new map. All ranks are armed after far fewer iterations.
 */
const MIN_LEAD_ITERATIONS = 30;
/** Time that a switch in progress has to complete when its term ends. */
const FINISH_TIMEOUT_MILLISECONDS = 3_000;
/** Map versions reserved for each term, so that no two terms share one. */
const VERSIONS_PER_TERM = 1_000_000;

/** Signals that stop a coordinator. */
export interface CoordinatorSignals {
  /** The group is assigned to another entry, or this process closes. */
  stopping: AbortSignal;
  /** This process closes, so it can send no more orders. */
  closing: AbortSignal;
}

/** The current term and the means to stop it. */
interface RunningTerm {
  fencing: number;
  /** Aborts the `stopping` signal of the term. */
  stop: AbortController;
  /** Aborts the `abandoning` signal of the term. */
  abandon: AbortController;
  /** Resolves when the term has ended. */
  ended: Promise<void>;
}

/** Fencing number of a term and the signals that stop it. */
interface TermParameters {
  fencing: number;
  /** Once aborted, the term only completes the switch in progress. */
  stopping: AbortSignal;
  /** Once aborted, the term gives up the switch in progress too. */
  abandoning: AbortSignal;
}

/**
 * Coordinates one group while this entry has the group's lease: it reads the
 * expert load of all ranks at intervals, plans a better placement of experts
 * and switches the group to the new expert map if the gain repays the cost.
 * Each time that the lease is acquired, a term with a new fencing number
 * starts.
 */
export class GroupCoordinator {
  readonly #expertLoadForecast = new expertLoadForecast.ExpertLoadForecast();
  readonly #surgeForecast = new surgeForecast.SurgeForecast();
  #lastPlan: placementDecision.PlacementDecision | undefined;
  /** Switches committed since this coordinator started. */
  #committedSwitches = 0;
  /** The current term; `undefined` while another entry may have the lease. */
  #term: RunningTerm | undefined;

  constructor(readonly parameters: GroupCoordinatorParameters) {}

  /** State of the group for the state dump. */
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

  /**
   * Acquires and renews the lease and runs a term each time that it has the
   * lease, until `stopping` aborts.
   */
  async run(signals: CoordinatorSignals): Promise<void> {
    const { lease, renewIntervalMilliseconds } = this.parameters;
    const { stopping } = signals;
    while (!stopping.aborted) {
      const fencing = await lease.renew();
      if (this.#term && this.#term.fencing !== fencing) {
        await this.#endTerm();
        // The lease may have lapsed without another entry acquiring it, and
        // renewing it would give the same fencing number again. The next term
        // needs a new one because map versions are derived from it: with one
        // version for two maps, a rank with the first map would report the
        // second as applied.
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
   * Ends the term after the switch in progress, if there is one. If the term
   * gave up a switch after it ordered "arm" and before "go", the armed ranks,
   * and with them the group, would hold until a successor has taken over.
   * Continuing without the lease is safe: once ranks promise a successor's
   * higher fencing number, they refuse this term's orders.
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

  /**
   * Takes the group over and rebalances it periodically until the term stops.
   */
  async #runTerm(parameters: TermParameters): Promise<void> {
    const { fencing, stopping, abandoning } = parameters;
    let count = 0;
    while (!stopping.aborted) {
      const term = await this.#takeOver(fencing, abandoning);
      if (term === "superseded") {
        // A rank has promised a higher fencing number although this entry
        // appears to have the lease. With the lease kept, the group would have
        // a coordinator whose orders the ranks refuse. After the release, an
        // entry acquires the lease again under a higher number.
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

  /**
   * Gets promises from all ranks and completes or cancels a switch that a
   * predecessor left. Returns the term; `undefined` if the take-over did not
   * succeed yet; or "superseded" if a rank refused the fencing number because
   * it obeys another coordinator.
   */
  async #takeOver(
    fencing: number,
    signal: AbortSignal,
  ): Promise<groupTerm.GroupTerm | "superseded" | undefined> {
    const { group, rankConnections, maps, logger } = this.parameters;
    const connections = rankConnections();
    if (!connections) return undefined;
    const term = new groupTerm.GroupTerm({
      group,
      fencing,
      connections,
      signal,
    });
    const readMap = (version: number) => maps.read(group, version);
    const outcome = await takeOver.takeOver({ term, readMap });
    switch (outcome.kind) {
      case "superseded":
        // The table service may have lost the fencing number that the ranks
        // promised. The next number that this entry gets must be higher.
        this.parameters.lease.raiseFencingAbove(outcome.promisedFencing);
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

  /**
   * Inspects the group once and, if that pays off, switches it to a new map
   * with the given version. Returns false if the group must be taken over
   * again.
   */
  async #rebalance(
    term: groupTerm.GroupTerm,
    version: number,
  ): Promise<boolean> {
    const { experts, preset, mayStartSwitch } = this.parameters;
    const ranks = term.sessions.length;
    const state = await inspectGroup.inspectGroup(term);
    if (!state || state.version === undefined || state.held) return false;
    const expertSettings = experts();
    const inForce = preset();
    if (!expertSettings || !inForce?.placement.enabled) return true;
    const seconds = inForce.placement.periodSeconds;
    const load = perSecond(state.tokens, seconds);
    if (!hasLoad(load)) return true;
    const now = Date.now();
    this.#expertLoadForecast.observe(load, now);
    this.#surgeForecast.observe(tokensPerSecondOf(load), now);
    const horizonMilliseconds = inForce.placement.horizonSeconds * 1_000;
    const expectedLoad =
      this.#expertLoadForecast.forecast(now, horizonMilliseconds) ?? load;
    if (!mayStartSwitch()) return true;
    const { places } = state;
    const decision = await placementDecision.decidePlacement({
      load: expectedLoad,
      places,
      ranks,
      experts: expertSettings,
      placement: inForce.placement,
    });
    this.#lastPlan = decision;
    this.#logDecision(decision);
    if (decision.kind === "keep") return true;
    const forecast = this.#surgeForecast;
    if (
      deferPlacement.isDeferred({ decision, forecast, wallMilliseconds: now })
    ) {
      const { group, logger } = this.parameters;
      const { netMilliseconds } = decision;
      const code = common.EventCode.PlacementHeldBack;
      logger.event(code, { group, netMilliseconds });
      return true;
    }
    return this.#switch({
      term,
      inForce: { version: state.version, places },
      map: { version, places: inRankOrder(decision.places) },
      experts: expertSettings,
    });
  }

  /**
   * Stores the new map and switches the group to it. Returns false if the group
   * must be taken over again.
   */
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

  /** Logs the figures of a decision, whether the map changes or not. */
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

/** Converts counts of text tokens over a period into rates. */
function perSecond(tokens: number[][], seconds: number): number[][] {
  return tokens.map((layer) => layer.map((count) => count / seconds));
}

/**
 * Sorts the ranks of each expert in ascending order, as an inspection of the
 * group lists them.
 */
function inRankOrder(places: wire.ExpertPlaces): wire.ExpertPlaces {
  return places.map((layer) =>
    layer.map((ranks) => [...ranks].sort((left, right) => left - right)),
  );
}

/** Text tokens per second over all experts of the first layer. */
function tokensPerSecondOf(load: number[][]): number {
  return load[0]?.reduce((sum, rate) => sum + rate, 0) ?? 0;
}

function hasLoad(load: number[][]): boolean {
  return load.some((layer) => layer.some((rate) => rate > 0));
}
