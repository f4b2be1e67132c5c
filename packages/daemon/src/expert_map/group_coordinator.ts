import * as common from "@geraniumkeel/common";
import type * as configuration from "@geraniumkeel/configuration";
import * as wire from "@geraniumkeel/wire";
import * as holdBack from "../placement/hold_back.ts";
import * as expertLoadForecast from "../forecast/expert_load_forecast.ts";
import * as placementDecision from "../placement/placement_decision.ts";
import * as surgeForecast from "../forecast/surge_forecast.ts";
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
  ranks: () => rankPort.RankPort[] | undefined;
  experts: () => configuration.Experts | undefined;
  preset: () => configuration.Preset | undefined;
  /** Whether a switch may start now, and room for one more. */
  mayStart: () => boolean;
  onSwitching: (switching: boolean) => void;
  logger: common.Logger;
  history: common.HistoryRecorder;
  host: string;
  renewMilliseconds: number;
}

const RETRY_MILLISECONDS = 500;
/** Steps between arming and the switch; all ranks arm in well under that. */
const LEAD_STEPS = 30;
/** Time for a switch under way to end when its term does. */
const FINISH_MILLISECONDS = 3_000;
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
  noMore: AbortController;
  abandon: AbortController;
  ended: Promise<void>;
}

/** What a term runs under. */
interface TermParameters {
  fencing: number;
  /** Begin nothing more. */
  noMore: AbortSignal;
  /** Give up what is under way too. */
  abandon: AbortSignal;
}

/** Coordinates one group while this entry holds its lease. */
export class GroupCoordinator {
  readonly #shape = new expertLoadForecast.ExpertLoadForecast();
  readonly #surges = new surgeForecast.SurgeForecast();
  #lastPlan: placementDecision.PlacementDecision | undefined;
  #switches = 0;
  /** The term under way. */
  #term: RunningTerm | undefined;

  constructor(readonly parameters: GroupCoordinatorParameters) {}

  /** What the state dump says of the group. */
  describe(): unknown {
    const { lease, group } = this.parameters;
    const { fencing } = lease;
    const lastPlan = this.#lastPlan;
    const term = this.#term?.fencing;
    return { group, fencing, term, switches: this.#switches, lastPlan };
  }

  /** Holds the lease and coordinates, term by term. */
  async run(signals: CoordinatorSignals): Promise<void> {
    const { lease, renewMilliseconds } = this.parameters;
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
      await common.sleep(renewMilliseconds, stopping);
    }
    await this.#endTerm();
    await lease.release();
  }

  #beginTerm(fencing: number, signals: CoordinatorSignals): RunningTerm {
    const { logger, group } = this.parameters;
    logger.event(common.EventCode.CoordinatorChanged, { group, fencing });
    const noMore = new AbortController();
    const abandon = new AbortController();
    const ended = this.#runTerm({
      fencing,
      noMore: AbortSignal.any([signals.stopping, noMore.signal]),
      abandon: AbortSignal.any([signals.closing, abandon.signal]),
    });
    return { fencing, noMore, abandon, ended };
  }

  /**
   * Lets a switch under way come to its end: given up between "arm" and "go", it
   * would have the whole group hold until a successor has taken over. Safe
   * without the lease, as a successor's higher number ends it at once.
   */
  async #endTerm(): Promise<void> {
    const term = this.#term;
    if (!term) return;
    term.noMore.abort();
    await common.withTimeout(term.ended, FINISH_MILLISECONDS);
    term.abandon.abort();
    await term.ended;
    this.#term = undefined;
  }

  async #runTerm(parameters: TermParameters): Promise<void> {
    const { fencing, noMore, abandon } = parameters;
    let count = 0;
    while (!noMore.aborted) {
      const taken = await this.#takeOver(fencing, abandon);
      if (taken === "superseded") {
        // A higher number was promised while the lease looks held. Keeping the
        // lease would leave the group with a coordinator that no rank obeys;
        // given up, it is taken again by someone, under a higher number.
        return this.parameters.lease.release();
      }
      if (taken === undefined) {
        await common.sleep(RETRY_MILLISECONDS, noMore);
        continue;
      }
      while (!noMore.aborted) {
        await common.sleep(this.#periodMilliseconds(), noMore);
        if (noMore.aborted) return;
        const version = fencing * VERSIONS_PER_TERM + ++count;
        if (!(await this.#round(taken, version))) break;
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
    const { group, ranks, maps, logger } = this.parameters;
    const ports = ranks();
    if (!ports) return undefined;
    const term = new groupTerm.GroupTerm({ group, fencing, ports, signal });
    const readMap = (version: number) => maps.read(group, version);
    const outcome = await takeOver.takeOver({ term, readMap });
    switch (outcome.kind) {
      case "superseded":
        // The table may have forgotten the number that the ranks remember.
        this.parameters.lease.raiseFencingAbove(outcome.promised);
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
  async #round(term: groupTerm.GroupTerm, version: number): Promise<boolean> {
    const { experts, preset, mayStart } = this.parameters;
    const ranks = term.sessions.length;
    const view = await inspectGroup.inspectGroup(term);
    if (!view || view.version === undefined || view.held) return false;
    const wanted = experts();
    const inForce = preset();
    if (!wanted || !inForce?.placement.enabled) return true;
    const seconds = inForce.placement.periodSeconds;
    const load = perSecond(view.tokens, seconds);
    if (!hasLoad(load)) return true;
    const now = Date.now();
    this.#shape.observe(load, now);
    this.#surges.observe(tokensPerSecondOf(load), now);
    const horizon = inForce.placement.horizonSeconds * 1_000;
    const forecast = this.#shape.forecast(now, horizon) ?? load;
    if (!mayStart()) return true;
    const { places } = view;
    const decision = await placementDecision.decidePlacement({
      load: forecast,
      places,
      ranks,
      experts: wanted,
      placement: inForce.placement,
    });
    this.#lastPlan = decision;
    this.#explain(decision);
    if (decision.kind === "keep") return true;
    const clock = this.#surges;
    if (holdBack.isHeldBack({ decision, clock, wallMilliseconds: now })) {
      const { group, logger } = this.parameters;
      const { netMilliseconds } = decision;
      const code = common.EventCode.PlacementHeldBack;
      logger.event(code, { group, netMilliseconds });
      return true;
    }
    return this.#switch({
      term,
      inForce: { version: view.version, places },
      map: { version, places: inRankOrder(decision.places) },
      experts: wanted,
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
    if (!(await maps.keep(group, map))) return true;
    logger.event(common.EventCode.MapSwitchStarted, { group, version });
    onSwitching(true);
    const outcome = await switchMap.switchMap({
      term,
      map,
      changes: wire.changesBetween(inForce, map),
      mode:
        experts.switching === "at-step"
          ? switchMap.SwitchMode.AtStep
          : switchMap.SwitchMode.HoldAll,
      leadSteps: LEAD_STEPS,
    });
    onSwitching(false);
    const { kind: ended } = outcome;
    history.record({ kind: "switch", host, group, version, ended });
    const { detail } = outcome;
    switch (outcome.kind) {
      case switchMap.SwitchKind.Committed:
        this.#switches++;
        logger.event(common.EventCode.MapSwitchCommitted, { group, version });
        return true;
      case switchMap.SwitchKind.Cancelled:
        logger.event(common.EventCode.MapSwitchCancelled, { group, detail });
        return true;
      case switchMap.SwitchKind.Superseded:
      case switchMap.SwitchKind.Unfinished:
        logger.event(common.EventCode.MapSwitchCancelled, { group, detail });
        return false;
    }
  }

  #explain(decision: placementDecision.PlacementDecision): void {
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
