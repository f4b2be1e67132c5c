import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import * as subscription from "../dispatch/subscription.ts";
import * as chooseGroup from "./choose_group.ts";
import * as chooseRank from "./choose_rank.ts";
import * as prefixIndex from "./prefix_index.ts";
import * as iterationTimeModel from "./iteration_time_model.ts";

/** A runner that has work but makes no progress for this long is suspended. */
const STALL_TIMEOUT_MILLISECONDS = 1_000;
/** Time in which a restored runner returns to its full concurrency. */
const RAMP_UP_MILLISECONDS = 5_000;
/**
 * One-way network delay from an entry to a runner in the same data centre, in
 * the same region, and in another region.
 */
const DISTANCE_MILLISECONDS = [0, 1.5, 30];
/** Weight of the newest call in the moving average of a runner's latency. */
const LATENCY_SMOOTHING = 0.1;
/** Latency that is assumed of a runner before its first call. */
const INITIAL_LATENCY_MILLISECONDS = 10;
/** Number of latest choices that the state dump shows. */
const MAX_EXPLANATIONS = 32;

/** The properties of a request that the choice of its runner depends on. */
export interface RoutingRequest {
  service: string;
  /** Requests that one runner may run at once. */
  runnerConcurrency: number;
  size: chooseRank.RequestSize;
  /** Hashes of the prompt's prefix blocks. */
  prefixBlocks: string[];
  /** Names of the runners that already refused this request. */
  excluded: ReadonlySet<string>;
}

/** Why a runner was chosen, for the state dump. */
interface Explanation {
  runner: string;
  /** Number of groups that had an eligible rank. */
  groups: number;
  /** Milliseconds by which the request lengthens the group's iteration. */
  growth: number;
  /** Predicted iteration time of the rank with the request, in milliseconds. */
  after: number;
}

/**
 * Chooses runners for requests. In services whose runners form groups, it picks
 * the best rank of each group and then the group that the request delays least.
 * In plain services, whose runners belong to no group, it compares two random
 * runners by latency. A runner that stalls gets no new requests until it makes
 * progress again.
 */
export class Router {
  /** Time models by group. */
  readonly #timeModels = new Map<
    string,
    iterationTimeModel.IterationTimeModel
  >();
  readonly #prefixes = new prefixIndex.PrefixIndex();
  /** Moving average of the latency of a plain service's calls, by runner. */
  readonly #latencyMilliseconds = new Map<string, number>();
  /** When each suspended runner was suspended. */
  readonly #suspendedAt = new Map<string, number>();
  /** When each runner that is ramping up again was restored. */
  readonly #restoredAt = new Map<string, number>();
  readonly #explanations: Explanation[] = [];

  constructor(
    readonly parameters: {
      runners: runnerDirectory.RunnerDirectory;
      position: subscription.Position;
      /** Whether runners in a data centre get nothing new. */
      isEvacuated: (dataCentre: string) => boolean;
      random: common.Random;
      logger: common.Logger;
    },
  ) {}

  /** Updates the group's time model from the runner's latest load report. */
  observeLoad(runner: runnerLink.RunnerLink): void {
    const { load, hello } = runner;
    if (!hello?.group || load.rankMilliseconds <= 0) return;
    this.#timeModelOf(hello.group).observe(
      hello.rank,
      load,
      load.rankMilliseconds,
    );
  }

  /** Applies cache events of the runner's engine. */
  applyCacheEvents(
    runner: runnerLink.RunnerLink,
    changes: wire.CacheChange[],
  ): void {
    this.#prefixes.apply(runner.host.name, changes);
  }

  /** Updates a runner's average latency from one call of a plain service. */
  observeLatency(runner: string, milliseconds: number): void {
    const known =
      this.#latencyMilliseconds.get(runner) ?? INITIAL_LATENCY_MILLISECONDS;
    const next = known + LATENCY_SMOOTHING * (milliseconds - known);
    this.#latencyMilliseconds.set(runner, next);
  }

  /** Whether a runner is in an evacuated data centre. */
  isEvacuated({ host }: runnerLink.RunnerLink): boolean {
    return this.parameters.isEvacuated(host.place);
  }

  /**
   * Whether the service has a linked runner that is neither leaving nor in an
   * evacuated data centre.
   */
  hasAvailableRunner(service: string): boolean {
    return this.parameters.runners
      .ofService(service)
      .some((runner) => this.#isOpen(runner));
  }

  /**
   * Chooses a runner that has capacity now; `undefined` if there is none. A
   * runner that refused the request is chosen only if no other is eligible.
   * With few runners, excluding it for good would make the request, and all
   * requests queued behind it, wait until its deadline.
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
    // Runners of plain services have no group, and so the empty name.
    const plain = groups.get("");
    if (plain && groups.size === 1) return this.#choosePlain(plain, request);
    return this.#chooseAmongGroups(groups, request);
  }

  /**
   * Routing's part of the state dump: `costs` lists the coefficients of each
   * group's time model, `spared` the suspended runners.
   */
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

  /**
   * Chooses the best rank of each group, then among these groups the one that
   * the request delays least.
   */
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
      const choice = chooseRank.chooseRank(parameters);
      if (!choice) return [];
      const sequences = rankCandidates.reduce(
        (sum, { work }) => sum + work.sequences,
        0,
      );
      const runner = runners[choice.index];
      const distanceMilliseconds = this.#distanceTo(runner);
      return [{ sequences, choice, runner, distanceMilliseconds }];
    });
    const index = chooseGroup.chooseGroup({
      candidates,
      iterations: request.size.expectedTokens,
      random,
    });
    if (index === undefined) return undefined;
    const { choice, runner } = candidates[index];
    this.#recordExplanation({
      runner: runner.host.name,
      groups: candidates.length,
      growth: choice.growthMilliseconds,
      after: choice.rankMilliseconds,
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
      prefixTokens: this.#prefixes.countPrefixTokens(
        host.name,
        request.prefixBlocks,
      ),
      distanceMilliseconds: this.#distanceTo(runner),
    };
  }

  /** Whether a runner may get new requests, as far as operators decide it. */
  #isOpen(runner: runnerLink.RunnerLink): boolean {
    return runner.available && !this.isEvacuated(runner);
  }

  #isEligible(runner: runnerLink.RunnerLink, request: RoutingRequest): boolean {
    const { name } = runner.host;
    if (!this.#isOpen(runner) || request.excluded.has(name)) return false;
    if (runner.isFull || runner.isAtRateLimit || runner.isResting) return false;
    if (this.#updateSuspension(runner)) return false;
    const limit = request.runnerConcurrency * this.#concurrencyShare(name);
    return runner.sequences < Math.max(1, limit);
  }

  /**
   * Suspends a runner of a group that has work but completes no iteration, and
   * restores it when that changes. Returns whether the runner is suspended.
   */
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

  /**
   * Share of its concurrency that a runner may use. After a suspension it grows
   * gradually from 0 to 1.
   */
  #concurrencyShare(name: string): number {
    const restoredAt = this.#restoredAt.get(name);
    if (restoredAt === undefined) return 1;
    const share = (common.now() - restoredAt) / RAMP_UP_MILLISECONDS;
    if (share >= 1) this.#restoredAt.delete(name);
    return Math.min(1, share);
  }

  /** One-way network delay to a runner in milliseconds. */
  #distanceTo(runner: runnerLink.RunnerLink): number {
    const { position } = this.parameters;
    const distanceClass = subscription.distanceClass(position, runner.host);
    return DISTANCE_MILLISECONDS[distanceClass];
  }

  /** Picks two runners at random and returns the one expected to be faster. */
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

  /** Expected milliseconds until the runner would answer one more request. */
  #expectedMilliseconds(runner: runnerLink.RunnerLink): number {
    const { name } = runner.host;
    const latency =
      this.#latencyMilliseconds.get(name) ?? INITIAL_LATENCY_MILLISECONDS;
    return (runner.sequences + 1) * latency + 2 * this.#distanceTo(runner);
  }

  #recordExplanation(explanation: Explanation): void {
    this.#explanations.push(explanation);
    if (this.#explanations.length > MAX_EXPLANATIONS) {
      this.#explanations.shift();
    }
  }
}
