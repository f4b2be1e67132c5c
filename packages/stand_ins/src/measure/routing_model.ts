import * as common from "@geraniumkeel/common";
import * as chooseRank from "@geraniumkeel/daemon/routing/choose_rank";
import * as iterationTimeModel from "@geraniumkeel/daemon/routing/iteration_time_model";
import * as lockStepRank from "./lock_step_rank.ts";
import * as statistics from "./statistics.ts";

/** Ways to choose a rank. */
export enum RoutingPolicy {
  RoundRobin = "round robin",
  Random = "random",
  LeastOutstanding = "least outstanding",
  TwoChoices = "two choices",
  StepTime = "step time",
  /** True costs and lengths, no lag, one chooser: the bound. */
  PerfectInformation = "perfect information",
}

/** Workloads of the routing measurement. */
export enum RoutingWorkload {
  Ordinary = "ordinary day",
  Surge = "hourly surge",
  SlowRank = "one rank half as fast",
  /** Twice the requests all the time, long blessings and route notes. */
  Lent = "Lenten peak",
}

/** Figures of one run. */
export interface RoutingFigures {
  skew: number;
  skew99: number;
  /** Mean skew from the surge's start until its work is done. */
  surgeSkew: number;
  stepMilliseconds: number;
  firstTokenMilliseconds95: number;
}

/** What an entry believes of a rank: a report, and its own dispatches since. */
interface Belief extends iterationTimeModel.RankWork {
  outstanding: number;
}

const RANKS = 16;
const ENTRIES = 7;
const REPORT_MILLISECONDS = 50;
const LENGTH_MILLISECONDS = 20_000;
const SURGE_AT = 8_000;
const SURGE_LENGTH = 2_000;
/** Time after its start in which the surge's work is still being done. */
const SURGE_AFTERMATH = 4_000;
const ORDINARY_PER_SECOND = 55;
const SURGE_PER_SECOND = 300;
const LENT_PER_SECOND = 110;

/** A group in lock-step, entries that choose on reports, and arrivals. */
export function runRouting(
  policy: RoutingPolicy,
  workload: RoutingWorkload,
  seed: number,
): RoutingFigures {
  const random = new common.Random(seed);
  const model = new RoutingModel(policy, workload, random);
  return model.run();
}

class RoutingModel {
  readonly #ranks = Array.from({ length: RANKS }, lockStepRank.idleRank);
  readonly #beliefs: Belief[][];
  readonly #costs: iterationTimeModel.IterationTimeModel[];
  readonly #skews: number[] = [];
  readonly #surgeSkews: number[] = [];
  readonly #steps: number[] = [];
  readonly #firstTokens: number[] = [];
  #now = 0;
  #nextArrival = 0;
  #nextReport = 0;
  #turn = 0;

  constructor(
    readonly policy: RoutingPolicy,
    readonly workload: RoutingWorkload,
    readonly random: common.Random,
  ) {
    this.#beliefs = Array.from({ length: ENTRIES }, () =>
      this.#ranks.map(() => noBelief()),
    );
    this.#costs = this.#beliefs.map(
      () => new iterationTimeModel.IterationTimeModel(),
    );
  }

  run(): RoutingFigures {
    while (this.#now < LENGTH_MILLISECONDS) {
      const times = this.#ranks.map((rank, index) => this.#timeOf(rank, index));
      const slowest = Math.max(...times);
      const busy = this.#ranks.some((rank) => rank.sequences.length > 0);
      if (busy) {
        this.#skews.push(slowest / statistics.mean(times));
        this.#steps.push(slowest);
        const sinceSurge = this.#now - SURGE_AT;
        if (sinceSurge >= 0 && sinceSurge < SURGE_AFTERMATH) {
          this.#surgeSkews.push(slowest / statistics.mean(times));
        }
      }
      this.#observe(times);
      this.#arrivals(this.#now + slowest);
      this.#now += slowest;
      for (const rank of this.#ranks) this.#step(rank);
      this.#report();
    }
    return {
      skew: statistics.mean(this.#skews),
      surgeSkew: statistics.mean(this.#surgeSkews),
      skew99: statistics.quantile(this.#skews, 0.99),
      stepMilliseconds: statistics.mean(this.#steps),
      firstTokenMilliseconds95: statistics.quantile(this.#firstTokens, 0.95),
    };
  }

  #timeOf(rank: lockStepRank.Rank, index: number): number {
    const slow = this.workload === RoutingWorkload.SlowRank && index === 3;
    return (slow ? 2 : 1) * lockStepRank.timeOf(rank);
  }

  /** Every entry hears rank times now and then, and fits its own cost. */
  #observe(times: number[]): void {
    if (this.#now < this.#nextReport) return;
    this.#costs.forEach((cost) =>
      times.forEach((time, rank) =>
        cost.observe(rank, lockStepRank.workOf(this.#ranks[rank]), time),
      ),
    );
  }

  #report(): void {
    if (this.#now < this.#nextReport) return;
    this.#nextReport = this.#now + REPORT_MILLISECONDS;
    for (const beliefs of this.#beliefs) {
      beliefs.forEach((belief, index) => {
        const rank = this.#ranks[index];
        Object.assign(belief, lockStepRank.workOf(rank));
        belief.outstanding = rank.sequences.length + rank.waiting.length;
      });
    }
  }

  #arrivals(until: number): void {
    while (this.#nextArrival < until) {
      this.#arrive(this.#nextArrival);
      this.#nextArrival += this.random.exponential(1_000 / this.#rate());
    }
  }

  #rate(): number {
    switch (this.workload) {
      case RoutingWorkload.Ordinary:
      case RoutingWorkload.SlowRank:
        return ORDINARY_PER_SECOND;
      case RoutingWorkload.Lent:
        return LENT_PER_SECOND;
      case RoutingWorkload.Surge: {
        const since = this.#nextArrival - SURGE_AT;
        const surging = since >= 0 && since < SURGE_LENGTH;
        return surging ? SURGE_PER_SECOND : ORDINARY_PER_SECOND;
      }
    }
  }

  #arrive(arrivedAt: number): void {
    const sequence = lockStepRank.newSequence(this.random, arrivedAt);
    const { promptTokens } = sequence;
    const entry = this.random.below(ENTRIES);
    const rank = this.#choose(entry, sequence);
    const belief = this.#beliefs[entry][rank];
    belief.sequences++;
    belief.outstanding++;
    belief.cachedTokens += promptTokens;
    belief.prefillTokens += promptTokens;
    this.#ranks[rank].waiting.push(sequence);
  }

  #choose(entry: number, sequence: lockStepRank.Sequence): number {
    const beliefs = this.#beliefs[entry];
    switch (this.policy) {
      case RoutingPolicy.RoundRobin:
        return this.#turn++ % RANKS;
      case RoutingPolicy.Random:
        return this.random.below(RANKS);
      case RoutingPolicy.LeastOutstanding:
        return lowest(beliefs.map((belief) => belief.outstanding));
      case RoutingPolicy.TwoChoices: {
        const first = this.random.below(RANKS);
        const second = this.random.below(RANKS);
        const better =
          beliefs[first].outstanding <= beliefs[second].outstanding;
        return better ? first : second;
      }
      case RoutingPolicy.StepTime:
        return this.#chooseByStepTime(entry, sequence);
      case RoutingPolicy.PerfectInformation:
        return this.#choosePerfectly();
    }
  }

  #chooseByStepTime(entry: number, sequence: lockStepRank.Sequence): number {
    const candidates = this.#beliefs[entry].map((work, rank) => ({
      rank,
      work,
      eligible: true,
      prefixTokens: 0,
      distanceMilliseconds: 0,
    }));
    const size = { promptTokens: sequence.promptTokens, expectedTokens: 80 };
    const cost = this.#costs[entry];
    const { random } = this;
    const choice = chooseRank.chooseRank({
      candidates,
      timeModel: cost,
      size,
      random,
    });
    return choice?.index ?? 0;
  }

  /** Least work left in truth: what is in the batch, to its known end. */
  #choosePerfectly(): number {
    return lowest(
      this.#ranks.map((rank, index) => {
        const all = [...rank.sequences, ...rank.waiting];
        const time = this.#timeOf({ sequences: all, waiting: [] }, index);
        const left = all.reduce(
          (sum, one) => sum + one.length - one.generated,
          0,
        );
        return time + left * 1e-4;
      }),
    );
  }

  #step(rank: lockStepRank.Rank): void {
    lockStepRank.advance(rank, ({ generated, arrivedAt }) => {
      if (generated === 0) this.#firstTokens.push(this.#now - arrivedAt);
    });
  }
}

function noBelief(): Belief {
  return { sequences: 0, cachedTokens: 0, prefillTokens: 0, outstanding: 0 };
}

function lowest(values: number[]): number {
  let best = 0;
  for (let index = 1; index < values.length; index++) {
    if (values[index] < values[best]) best = index;
  }
  return best;
}
