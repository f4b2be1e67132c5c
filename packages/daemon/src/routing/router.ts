import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as runnerDirectory from "../dispatch/runner_directory.ts";
import type * as runnerLink from "../dispatch/runner_link.ts";
import * as subscription from "../dispatch/subscription.ts";
import * as chooseGroup from "./choose_group.ts";
import * as chooseRank from "./choose_rank.ts";
import * as prefixIndex from "./prefix_index.ts";
import * as stepCost from "./step_cost.ts";

/** Time without a step, with work at hand, after which a runner is spared. */
const STALLED_MILLISECONDS = 1_000;
/** Time in which a spared runner comes back to its full share. */
const RESTORE_MILLISECONDS = 5_000;
/** One-way distance by class: same place, same region, beyond. */
const DISTANCE_MILLISECONDS = [0, 1.5, 30];
const LATENCY_SMOOTHING = 0.1;
const INITIAL_LATENCY_MILLISECONDS = 10;
/** Choices kept for the state dump. */
const EXPLAINED_CHOICES = 32;

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
  readonly #costs = new Map<string, stepCost.StepCost>();
  readonly #prefixes = new prefixIndex.PrefixIndex();
  readonly #latencies = new Map<string, number>();
  readonly #spared = new Map<string, number>();
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
  observe(runner: runnerLink.RunnerLink): void {
    const { load, hello } = runner;
    if (!hello?.group || load.rankMilliseconds <= 0) return;
    this.#cost(hello.group).observe(hello.rank, load, load.rankMilliseconds);
  }

  /** Takes in cache events. */
  cacheEvents(
    runner: runnerLink.RunnerLink,
    changes: wire.CacheChange[],
  ): void {
    this.#prefixes.apply(runner.host.name, changes);
  }

  /** Takes in the latency of a plain call, in milliseconds. */
  observeLatency(runner: string, milliseconds: number): void {
    const known = this.#latencies.get(runner) ?? INITIAL_LATENCY_MILLISECONDS;
    const next = known + LATENCY_SMOOTHING * (milliseconds - known);
    this.#latencies.set(runner, next);
  }

  /** Whether any runner of the service could ever take the request. */
  exists(service: string): boolean {
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
    const chosen = this.#chooseOnce(request);
    if (chosen || request.excluded.size === 0) return chosen;
    return this.#chooseOnce({ ...request, excluded: new Set() });
  }

  #chooseOnce(request: RoutingRequest): runnerLink.RunnerLink | undefined {
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
        [...this.#costs].map(([group, cost]) => [group, cost.coefficients]),
      ),
      spared: [...this.#spared.keys()],
      recentChoices: this.#explanations,
    };
  }

  #cost(group: string): stepCost.StepCost {
    const cost = this.#costs.get(group) ?? new stepCost.StepCost();
    this.#costs.set(group, cost);
    return cost;
  }

  /** The best rank of each group, then the group that it delays least. */
  #chooseAmongGroups(
    groups: Map<string, runnerLink.RunnerLink[]>,
    request: RoutingRequest,
  ): runnerLink.RunnerLink | undefined {
    const { random } = this.parameters;
    const candidates = [...groups].flatMap(([group, runners]) => {
      const ranks = runners.map((one) => this.#candidate(one, request));
      const cost = this.#cost(group);
      const { size } = request;
      const choose = { candidates: ranks, cost, size, random };
      const rank = chooseRank.chooseRank(choose);
      if (!rank) return [];
      const sequences = ranks.reduce(
        (sum, { work }) => sum + work.sequences,
        0,
      );
      const runner = runners[rank.index];
      const distanceMilliseconds = this.#distance(runner);
      return [{ sequences, rank, runner, distanceMilliseconds }];
    });
    const index = chooseGroup.chooseGroup({
      candidates,
      steps: request.size.expectedTokens,
      random,
    });
    if (index === undefined) return undefined;
    const { rank, runner } = candidates[index];
    this.#explain({
      runner: runner.host.name,
      groups: candidates.length,
      growth: rank.growth,
      after: rank.after,
    });
    this.#prefixes.expect(runner.host.name, request.prefixBlocks);
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
      eligible: this.#eligible(runner, request),
      prefixTokens: this.#prefixes.match(host.name, request.prefixBlocks),
      distanceMilliseconds: this.#distance(runner),
    };
  }

  #eligible(runner: runnerLink.RunnerLink, request: RoutingRequest): boolean {
    const { name } = runner.host;
    if (!runner.available || request.excluded.has(name)) return false;
    if (runner.isFull || this.#stalled(runner)) return false;
    const limit = request.runnerConcurrency * this.#share(name);
    return runner.sequences < Math.max(1, limit);
  }

  /** A runner that does not step although it has work is spared for now. */
  #stalled(runner: runnerLink.RunnerLink): boolean {
    const { name } = runner.host;
    const quiet = common.now() - runner.progressAt;
    const busy = runner.load.sequences > 0 && runner.hello?.group !== "";
    const stalled = busy && quiet > STALLED_MILLISECONDS;
    const { logger } = this.parameters;
    if (stalled && !this.#spared.has(name)) {
      this.#spared.set(name, common.now());
      logger.event(common.EventCode.RunnerSpared, { runner: name, quiet });
    }
    if (!stalled && this.#spared.delete(name)) {
      this.#restoredAt.set(name, common.now());
      logger.event(common.EventCode.RunnerRestored, { runner: name });
    }
    return stalled;
  }

  /** A runner that comes back gets its share by and by, not at once. */
  #share(name: string): number {
    const restoredAt = this.#restoredAt.get(name);
    if (restoredAt === undefined) return 1;
    const share = (common.now() - restoredAt) / RESTORE_MILLISECONDS;
    if (share >= 1) this.#restoredAt.delete(name);
    return Math.min(1, share);
  }

  #distance(runner: runnerLink.RunnerLink): number {
    const { position } = this.parameters;
    const distance = subscription.distanceClass(position, runner.host);
    return DISTANCE_MILLISECONDS[distance];
  }

  /** Of two runners taken at random, the one that should answer sooner. */
  #choosePlain(
    runners: runnerLink.RunnerLink[],
    request: RoutingRequest,
  ): runnerLink.RunnerLink | undefined {
    const eligible = runners.filter((one) => this.#eligible(one, request));
    if (eligible.length === 0) return undefined;
    const { random } = this.parameters;
    const first = random.pick(eligible);
    const second = random.pick(eligible);
    return this.#expected(first) <= this.#expected(second) ? first : second;
  }

  #expected(runner: runnerLink.RunnerLink): number {
    const { name } = runner.host;
    const latency = this.#latencies.get(name) ?? INITIAL_LATENCY_MILLISECONDS;
    return (runner.sequences + 1) * latency + 2 * this.#distance(runner);
  }

  #explain(explanation: Explanation): void {
    this.#explanations.push(explanation);
    if (this.#explanations.length > EXPLAINED_CHOICES) {
      this.#explanations.shift();
    }
  }
}
