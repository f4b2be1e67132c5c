import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import * as subscription from "../dispatch/subscription.ts";
import * as chooseGroup from "./choose_group.ts";
import * as chooseRank from "./choose_rank.ts";
import * as prefixIndex from "./prefix_index.ts";
import * as iterationTimeModel from "./iteration_time_model.ts";

/** Time without a step, with work at hand, after which a runner is spared. */
const STALL_TIMEOUT_MILLISECONDS = 1_000;
/** Time in which a spared runner comes back to its full share. */
const RAMP_UP_MILLISECONDS = 5_000;
/** One-way distance by class: same place, same region, beyond. */
const DISTANCE_MILLISECONDS = [0, 1.5, 30];
const LATENCY_SMOOTHING = 0.1;
const INITIAL_LATENCY_MILLISECONDS = 10;
/** Choices kept for the state dump. */
const MAX_EXPLANATIONS = 32;

/** A request looking for a runner. */
export interface RoutingRequest {
  service: string;
  /** Requests that one runner may hold at once. */
  runnerConcurrency: number;
  size: chooseRank.RequestSize;
  prefixBlocks: string[];
  /** Runners that already refused this request. */
  excluded: ReadonlySet<string>;
}

/** Why a runner was chosen, for the state dump. */
interface Explanation {
  runner: string;
  groups: number;
  growth: number;
  after: number;
}

/** Chooses runners for requests. */
export class Router {
  readonly #timeModels = new Map<
    string,
    iterationTimeModel.IterationTimeModel
  >();
  readonly #prefixes = new prefixIndex.PrefixIndex();
  readonly #latencyMilliseconds = new Map<string, number>();
  readonly #suspendedAt = new Map<string, number>();
  readonly #restoredAt = new Map<string, number>();
  readonly #explanations: Explanation[] = [];

  constructor(
    readonly parameters: {
      runners: runnerDirectory.RunnerDirectory;
      position: subscription.Position;
      random: common.Random;
      logger: common.Logger;
    },
  ) {}

  /** Takes in a load report. */
  observeLoad(runner: runnerLink.RunnerLink): void {
    const { load, hello } = runner;
    if (!hello?.group || load.rankMilliseconds <= 0) return;
    this.#timeModelOf(hello.group).observe(
      hello.rank,
      load,
      load.rankMilliseconds,
    );
  }

  /** Takes in cache events. */
  applyCacheEvents(
    runner: runnerLink.RunnerLink,
    changes: wire.CacheChange[],
  ): void {
    this.#prefixes.apply(runner.host.name, changes);
  }

  /** Takes in the latency of a plain call, in milliseconds. */
  observeLatency(runner: string, milliseconds: number): void {
    const known =
      this.#latencyMilliseconds.get(runner) ?? INITIAL_LATENCY_MILLISECONDS;
    const next = known + LATENCY_SMOOTHING * (milliseconds - known);
    this.#latencyMilliseconds.set(runner, next);
  }

  /** Whether any runner of the service could ever take the request. */
  hasAvailableRunner(service: string): boolean {
    return this.parameters.runners
      .ofService(service)
      .some((runner) => runner.available);
  }

  /**
   * A runner with room now, or `undefined`. Runners that refused the request are
   * taken only if there is no other: with few runners, leaving them out for good
   * would have the request, and all behind it, wait until its deadline.
   */
  choose(request: RoutingRequest): runnerLink.RunnerLink | undefined {
    const chosen = this.#chooseNotExcluded(request);
    if (chosen || request.excluded.size === 0) return chosen;
    return this.#chooseNotExcluded({ ...request, excluded: new Set() });
  }

  #chooseNotExcluded(
    request: RoutingRequest,
  ): runnerLink.RunnerLink | undefined {
    const runners = this.parameters.runners.ofService(request.service);
    const groups = new Map<string, runnerLink.RunnerLink[]>();
    for (const runner of runners) {
      const group = runner.hello?.group ?? "";
      groups.set(group, [...(groups.get(group) ?? []), runner]);
    }
    const plain = groups.get("");
    if (plain && groups.size === 1) return this.#choosePlain(plain, request);
    return this.#chooseAmongGroups(groups, request);
  }

  /** What the state dump says of routing. */
  describe(): unknown {
    return {
      costs: Object.fromEntries(
        [...this.#timeModels].map(([group, timeModel]) => [
          group,
          timeModel.coefficients,
        ]),
      ),
      spared: [...this.#suspendedAt.keys()],
      recentChoices: this.#explanations,
    };
  }

  #timeModelOf(group: string): iterationTimeModel.IterationTimeModel {
    const timeModel =
      this.#timeModels.get(group) ??
      new iterationTimeModel.IterationTimeModel();
    this.#timeModels.set(group, timeModel);
    return timeModel;
  }

  /** The best rank of each group, then the group that it delays least. */
  #chooseAmongGroups(
    groups: Map<string, runnerLink.RunnerLink[]>,
    request: RoutingRequest,
  ): runnerLink.RunnerLink | undefined {
    const { random } = this.parameters;
    const candidates = [...groups].flatMap(([group, runners]) => {
      const rankCandidates = runners.map((member) =>
        this.#candidate(member, request),
      );
      const timeModel = this.#timeModelOf(group);
      const { size } = request;
      const parameters = {
        candidates: rankCandidates,
        timeModel,
        size,
        random,
      };
      const rank = chooseRank.chooseRank(parameters);
      if (!rank) return [];
      const sequences = rankCandidates.reduce(
        (sum, { work }) => sum + work.sequences,
        0,
      );
      const runner = runners[rank.index];
      const distanceMilliseconds = this.#distanceTo(runner);
      return [{ sequences, rank, runner, distanceMilliseconds }];
    });
    const index = chooseGroup.chooseGroup({
      candidates,
      iterations: request.size.expectedTokens,
      random,
    });
    if (index === undefined) return undefined;
    const { rank, runner } = candidates[index];
    this.#explain({
      runner: runner.host.name,
      groups: candidates.length,
      growth: rank.growthMilliseconds,
      after: rank.rankMilliseconds,
    });
    this.#prefixes.assumeCached(runner.host.name, request.prefixBlocks);
    return runner;
  }

  #candidate(
    runner: runnerLink.RunnerLink,
    request: RoutingRequest,
  ): chooseRank.RankCandidate {
    const { load, host } = runner;
    const { pendingTokens } = runner;
    return {
      rank: runner.hello?.rank ?? 0,
      work: {
        sequences: runner.sequences,
        cachedTokens: load.cachedTokens + pendingTokens,
        prefillTokens: load.prefillTokens + pendingTokens,
      },
      eligible: this.#isEligible(runner, request),
      prefixTokens: this.#prefixes.countCachedTokens(
        host.name,
        request.prefixBlocks,
      ),
      distanceMilliseconds: this.#distanceTo(runner),
    };
  }

  #isEligible(runner: runnerLink.RunnerLink, request: RoutingRequest): boolean {
    const { name } = runner.host;
    if (!runner.available || request.excluded.has(name)) return false;
    if (runner.isFull || this.#updateSuspension(runner)) return false;
    const limit = request.runnerConcurrency * this.#concurrencyShare(name);
    return runner.sequences < Math.max(1, limit);
  }

  /** A runner that does not step although it has work is spared for now. */
  #updateSuspension(runner: runnerLink.RunnerLink): boolean {
    const { name } = runner.host;
    const sinceProgressMilliseconds = common.now() - runner.progressAt;
    const hasWork = runner.load.sequences > 0 && runner.hello?.group !== "";
    const isStalled =
      hasWork && sinceProgressMilliseconds > STALL_TIMEOUT_MILLISECONDS;
    const { logger } = this.parameters;
    if (isStalled && !this.#suspendedAt.has(name)) {
      this.#suspendedAt.set(name, common.now());
      logger.event(common.EventCode.RunnerSpared, {
        runner: name,
        quiet: sinceProgressMilliseconds,
      });
    }
    if (!isStalled && this.#suspendedAt.delete(name)) {
      this.#restoredAt.set(name, common.now());
      logger.event(common.EventCode.RunnerRestored, { runner: name });
    }
    return isStalled;
  }

  /** A runner that comes back gets its share by and by, not at once. */
  #concurrencyShare(name: string): number {
    const restoredAt = this.#restoredAt.get(name);
    if (restoredAt === undefined) return 1;
    const share = (common.now() - restoredAt) / RAMP_UP_MILLISECONDS;
    if (share >= 1) this.#restoredAt.delete(name);
    return Math.min(1, share);
  }

  #distanceTo(runner: runnerLink.RunnerLink): number {
    const { position } = this.parameters;
    const distanceClass = subscription.distanceClass(position, runner.host);
    return DISTANCE_MILLISECONDS[distanceClass];
  }

  /** Of two runners taken at random, the one that should answer sooner. */
  #choosePlain(
    runners: runnerLink.RunnerLink[],
    request: RoutingRequest,
  ): runnerLink.RunnerLink | undefined {
    const eligible = runners.filter((runner) =>
      this.#isEligible(runner, request),
    );
    if (eligible.length === 0) return undefined;
    const { random } = this.parameters;
    const first = random.pick(eligible);
    const second = random.pick(eligible);
    return this.#expectedMilliseconds(first) <=
      this.#expectedMilliseconds(second)
      ? first
      : second;
  }

  #expectedMilliseconds(runner: runnerLink.RunnerLink): number {
    const { name } = runner.host;
    const latency =
      this.#latencyMilliseconds.get(name) ?? INITIAL_LATENCY_MILLISECONDS;
    return (runner.sequences + 1) * latency + 2 * this.#distanceTo(runner);
  }

  #explain(explanation: Explanation): void {
    this.#explanations.push(explanation);
    if (this.#explanations.length > MAX_EXPLANATIONS) {
      this.#explanations.shift();
    }
  }
}
