import * as common from "@geraniumkeel/common";
import * as chooseGroup from "@geraniumkeel/daemon/routing/choose_group";
import * as chooseRank from "@geraniumkeel/daemon/routing/choose_rank";
import * as iterationTimeModel from "@geraniumkeel/daemon/routing/iteration_time_model";
import * as lockStepRank from "./lock_step_rank.ts";
import * as statistics from "./statistics.ts";

/** Ways to choose among groups; within one, by step time. */
export enum GroupPolicy {
  Random = "any group",
  /** As it was before: the rank that is fastest with the request. */
  FastestRank = "fastest rank",
  TwoChoices = "less busy of two groups",
  LeastDelay = "least delay, near-best shared",
}

/** Figures of one run. */
export interface GroupFigures {
  skew: number;
  tokenMilliseconds: number;
  tokenMilliseconds95: number;
  firstTokenMilliseconds95: number;
}

interface Group {
  /** When its present step ends. */
  now: number;
  nextReport: number;
  ranks: lockStepRank.Rank[];
}

const GROUPS = 4;
const RANKS = 16;
const ENTRIES = 7;
const REPORT_MILLISECONDS = 50;
const LENGTH_MILLISECONDS = 20_000;
const ORDINARY_PER_SECOND = 220;
const SURGE_PER_SECOND = 1_200;
const SURGE_AT = 8_000;
const SURGE_LENGTH = 2_000;
const EXPECTED_TOKENS = 80;

/** Groups that each step at their own pace, and entries with views of them. */
export class GroupsModel {
  readonly #random: common.Random;
  readonly #groups: Group[];
  readonly #views: iterationTimeModel.RankWork[][][];
  readonly #costs: iterationTimeModel.IterationTimeModel[][];
  readonly #skews: number[] = [];
  readonly #tokens: number[] = [];
  readonly #firstTokens: number[] = [];
  #nextArrival = 0;

  constructor(
    readonly policy: GroupPolicy,
    readonly surge: boolean,
    seed: number,
  ) {
    this.#random = new common.Random(seed);
    this.#groups = Array.from({ length: GROUPS }, () => ({
      now: 0,
      nextReport: 0,
      ranks: Array.from({ length: RANKS }, lockStepRank.idleRank),
    }));
    this.#views = Array.from({ length: ENTRIES }, () =>
      this.#groups.map(({ ranks }) => ranks.map(lockStepRank.workOf)),
    );
    this.#costs = this.#views.map(() =>
      this.#groups.map(() => new iterationTimeModel.IterationTimeModel()),
    );
  }

  /** Runs to the end of the time. */
  run(): GroupFigures {
    for (;;) {
      const group = this.#earliest();
      if (group.now >= LENGTH_MILLISECONDS) return this.#figures();
      this.#arrivals(group.now);
      this.#step(group);
    }
  }

  #figures(): GroupFigures {
    return {
      skew: statistics.mean(this.#skews),
      tokenMilliseconds: statistics.mean(this.#tokens),
      tokenMilliseconds95: statistics.quantile(this.#tokens, 0.95),
      firstTokenMilliseconds95: statistics.quantile(this.#firstTokens, 0.95),
    };
  }

  #earliest(): Group {
    return this.#groups.reduce((first, group) =>
      group.now < first.now ? group : first,
    );
  }

  #arrivals(until: number): void {
    while (this.#nextArrival < until) {
      this.#arrive(this.#nextArrival);
      const sinceSurge = this.#nextArrival - SURGE_AT;
      const surging = sinceSurge >= 0 && sinceSurge < SURGE_LENGTH;
      const rate =
        this.surge && surging ? SURGE_PER_SECOND : ORDINARY_PER_SECOND;
      this.#nextArrival += this.#random.exponential(1_000 / rate);
    }
  }

  #arrive(arrivedAt: number): void {
    const random = this.#random;
    const sequence = lockStepRank.newSequence(random, arrivedAt);
    const { promptTokens } = sequence;
    const entry = random.below(ENTRIES);
    const { group, rank } = this.#choose(entry, promptTokens);
    const view = this.#views[entry][group][rank];
    view.sequences++;
    view.cachedTokens += promptTokens;
    view.prefillTokens += promptTokens;
    this.#groups[group].ranks[rank].waiting.push(sequence);
  }

  #choose(
    entry: number,
    promptTokens: number,
  ): { group: number; rank: number } {
    const candidates = this.#groups.map((_, group) =>
      this.#candidate(entry, group, promptTokens),
    );
    const group = this.#chooseGroup(candidates);
    return { group, rank: candidates[group].choice.index };
  }

  #chooseGroup(candidates: chooseGroup.GroupCandidate[]): number {
    const random = this.#random;
    switch (this.policy) {
      case GroupPolicy.Random:
        return random.below(GROUPS);
      case GroupPolicy.FastestRank: {
        const after = candidates.map(
          ({ choice: rank }) => rank.rankMilliseconds,
        );
        return after.indexOf(Math.min(...after));
      }
      case GroupPolicy.TwoChoices: {
        const first = random.below(GROUPS);
        const second = random.below(GROUPS);
        const better =
          candidates[first].sequences <= candidates[second].sequences;
        return better ? first : second;
      }
      case GroupPolicy.LeastDelay:
        return (
          chooseGroup.chooseGroup({
            candidates,
            iterations: EXPECTED_TOKENS,
            random,
          }) ?? 0
        );
    }
  }

  #candidate(
    entry: number,
    group: number,
    promptTokens: number,
  ): chooseGroup.GroupCandidate {
    const views = this.#views[entry][group];
    const rank = chooseRank.chooseRank({
      candidates: views.map((work, index) => ({
        rank: index,
        work,
        eligible: true,
        prefixTokens: 0,
        distanceMilliseconds: 0,
      })),
      timeModel: this.#costs[entry][group],
      size: { promptTokens, expectedTokens: EXPECTED_TOKENS },
      random: this.#random,
    });
    if (!rank) throw new Error("no rank is eligible");
    const sequences = views.reduce((sum, work) => sum + work.sequences, 0);
    return { sequences, choice: rank, distanceMilliseconds: 0 };
  }

  #step(group: Group): void {
    const times = group.ranks.map(lockStepRank.timeOf);
    const slowest = Math.max(...times);
    const busy = group.ranks.some((rank) => rank.sequences.length > 0);
    if (busy) this.#skews.push(slowest / statistics.mean(times));
    if (group.now >= group.nextReport) this.#report(group, times);
    group.now += slowest;
    for (const rank of group.ranks) this.#advance(rank, group.now, slowest);
  }

  #report(group: Group, times: number[]): void {
    group.nextReport = group.now + REPORT_MILLISECONDS;
    const index = this.#groups.indexOf(group);
    const works = group.ranks.map(lockStepRank.workOf);
    this.#views.forEach((views, entry) => {
      views[index] = works.map((work) => ({ ...work }));
      works.forEach((work, rank) =>
        this.#costs[entry][index].observe(rank, work, times[rank]),
      );
    });
  }

  #advance(
    rank: lockStepRank.Rank,
    now: number,
    stepMilliseconds: number,
  ): void {
    lockStepRank.advance(rank, ({ generated, arrivedAt }) => {
      if (generated === 0) this.#firstTokens.push(now - arrivedAt);
      this.#tokens.push(stepMilliseconds);
    });
  }
}
