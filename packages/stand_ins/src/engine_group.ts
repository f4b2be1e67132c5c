import * as common from "@geraniumkeel/common";
import * as engine from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import * as engineModel from "./engine_model.ts";
import * as engineRank from "./engine_rank.ts";
import * as expertLoad from "./expert_load.ts";

/** Faults of an engine group. */
export interface EngineFaults {
  /** Rank that makes no progress until a time of the monotonic clock. */
  stalledRank: number;
  stalledUntil: number;
  /** Factor on one rank's step time. */
  slowRank: number;
  slowFactor: number;
  /** Streams that break off after a few tokens. */
  breakStreams: number;
  /** Calls refused with 503 before they start. */
  refuseCalls: number;
  /** Orders that take effect and whose answer is lost. */
  loseOrderAnswers: number;
  orderDelayMilliseconds: number;
  /** Kind of orders that are lost before they take effect; empty for none. */
  dropOrders: wire.OrderKind | "";
  /** Age of load reports, in milliseconds. */
  reportLagMilliseconds: number;
  /** Cache events that are never published. */
  dropCacheEvents: number;
  /** Rank whose answers name a rate limit, and what they name. */
  limitedRank: number;
  rateLimit: string;
  /** Rank that turns generations away, and the `Retry-After` that it sends. */
  restingRank: number;
  restWanted: string;
}

/** What a group did, for the history checkers. */
export interface GroupHistory {
  steps: number;
  /** Steps in which ranks, or one rank in its course, used different maps. */
  mixedSteps: number;
  /** Milliseconds in which ranks held for a switch. */
  heldMilliseconds: number;
  /** Sum over steps of slowest rank time and of mean rank time. */
  slowestSum: number;
  meanSum: number;
  switches: number;
}

/** A call that arrived at a rank, and what its answer says of the rank. */
export interface EngineArrival {
  rank: number;
  /** Requests a second that the answer names; `undefined` for none. */
  perSecond: number | undefined;
  /** Milliseconds of rest that the answer asks for; `undefined` for none. */
  restMilliseconds: number | undefined;
}

/** How orders are given to the engines of a group. */
export interface GroupOptions {
  model: engineModel.EngineModel;
  seed: number;
  /** Engines refuse orders with an old fencing number. */
  checksFencing: boolean;
  /** Engines take orders for a step number; else hold, apply and release. */
  numbersSteps: boolean;
}

const IDLE_POLL_MILLISECONDS = 2;

/**
 * A group of ranks in lock-step: a step takes as long as its slowest rank, and
 * no rank starts a step before all have ended the last one.
 */
export class EngineGroup {
  readonly ranks: engineRank.EngineRank[];
  readonly load: expertLoad.ExpertLoad;
  readonly history: GroupHistory = {
    steps: 0,
    mixedSteps: 0,
    heldMilliseconds: 0,
    slowestSum: 0,
    meanSum: 0,
    switches: 0,
  };
  readonly faults: EngineFaults = {
    stalledRank: -1,
    stalledUntil: 0,
    slowRank: -1,
    slowFactor: 1,
    breakStreams: 0,
    refuseCalls: 0,
    loseOrderAnswers: 0,
    orderDelayMilliseconds: 0,
    dropOrders: "",
    reportLagMilliseconds: 100,
    dropCacheEvents: 0,
    limitedRank: -1,
    rateLimit: "",
    restingRank: -1,
    restWanted: "",
  };
  /** Called when a generation, or a call to take one up again, arrives. */
  onArrival: ((arrival: EngineArrival) => void) | undefined;
  step = 0;
  /** Called when a rank's engine starts a sequence. */
  onStart: ((rank: number, call: engine.GenerateCall) => void) | undefined;
  /** Called when a rank uses another map from a step on. */
  onMapUse: ((rank: number, step: number, version: number) => void) | undefined;
  readonly #abort = new AbortController();
  #running: Promise<void> | undefined;

  constructor(readonly options: GroupOptions) {
    const { model, seed } = options;
    this.load = new expertLoad.ExpertLoad(model, seed);
    const places = expertLoad.initialPlaces(model);
    this.ranks = Array.from({ length: model.ranks }, (_, rank) => {
      const map = { version: 1, places };
      return new engineRank.EngineRank({ group: this, rank, map });
    });
  }

  /** Starts stepping. */
  start(): void {
    this.#running = this.#run();
  }

  /** Stops stepping. */
  async close(): Promise<void> {
    this.#abort.abort();
    await this.#running;
  }

  async #run(): Promise<void> {
    const { signal } = this.#abort;
    while (!signal.aborted) {
      if (!(await this.#mayStep(signal))) continue;
      const busy = this.ranks.some((rank) => rank.busy);
      if (!busy) {
        // An idle group steps on, slowly: switches by step number go through.
        await common.sleep(this.options.model.baseMilliseconds, signal);
        this.#advance();
        continue;
      }
      const started = common.now();
      const milliseconds = this.#stepMilliseconds();
      const elapsed = common.now() - started;
      await common.sleep(Math.max(1, milliseconds - elapsed), signal);
      this.#advance();
    }
  }

  /** Takes one step at once, if no rank holds; for tests without timers. */
  tryStep(): boolean {
    for (const rank of this.ranks) rank.beforeStep(this.step);
    if (this.ranks.some((rank) => rank.held)) return false;
    this.#advance();
    return true;
  }

  /** Waits while a rank stalls or holds; true when a step may start. */
  async #mayStep(signal: AbortSignal): Promise<boolean> {
    const stalled = common.now() < this.faults.stalledUntil;
    for (const rank of this.ranks) rank.beforeStep(this.step);
    const held = this.ranks.some((rank) => rank.held);
    if (!stalled && !held) return true;
    const from = common.now();
    await common.sleep(IDLE_POLL_MILLISECONDS, signal);
    if (held) this.history.heldMilliseconds += common.now() - from;
    return false;
  }

  #stepMilliseconds(): number {
    const tokens = this.ranks.reduce((sum, rank) => sum + rank.stepTokens, 0);
    this.load.drift(common.now());
    let slowest = 0;
    let sum = 0;
    this.ranks.forEach((rank, index) => {
      const share = this.load.rankShare(rank.map, index);
      const slow = index === this.faults.slowRank ? this.faults.slowFactor : 1;
      const time = rank.timeOf(tokens, share) * slow;
      rank.lastMilliseconds = time;
      slowest = Math.max(slowest, time);
      sum += time;
    });
    this.history.slowestSum += slowest;
    this.history.meanSum += sum / this.ranks.length;
    this.ranks.forEach((rank, index) => {
      rank.lastStepMilliseconds = slowest;
      const { map, expertTokens: counts } = rank;
      this.load.count({ counts, map, rank: index, groupTokens: tokens });
    });
    return slowest;
  }

  /** All ranks take one step together. */
  #advance(): void {
    const versions = new Set(this.ranks.map((rank) => rank.map.version));
    if (versions.size > 1) this.history.mixedSteps++;
    this.history.steps++;
    this.step++;
    for (const rank of this.ranks) rank.advance();
  }
}

/** Load report of a rank, as published. */
export function reportOf(rank: engineRank.EngineRank): engine.EngineLoad {
  return {
    sequences: rank.sequences,
    waiting: rank.waiting,
    cachedTokens: rank.cachedTokens,
    prefillTokens: rank.prefillTokens,
    rankMilliseconds: rank.lastMilliseconds,
    stepMilliseconds: rank.lastStepMilliseconds,
    step: rank.step,
    mapVersion: rank.map.version,
  };
}

/** State of a rank, as read back by orders. */
export function stateOf(rank: engineRank.EngineRank): wire.RankState {
  return {
    step: rank.step,
    mapVersion: rank.map.version,
    stagedVersion: rank.staged?.version ?? 0,
    armedVersion: rank.armed?.version ?? 0,
    armedStep: rank.armed?.step ?? 0,
    goVersion: rank.armed?.go ? rank.armed.version : 0,
    held: rank.held,
    expertTokens: [],
  };
}
