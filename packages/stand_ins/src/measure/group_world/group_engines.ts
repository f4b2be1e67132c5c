import * as common from "@geraniumkeel/common";
import type * as deployment from "./deployment.ts";
import type * as likedExperts from "./liked_experts.ts";

/** How much longer passes take while a rank loads experts. */
const LOADING_SLOWDOWN = 1.15;
/** Choices that a token written stands for, in choices of one read. */
const CHOICES_PER_TOKEN_WRITTEN = 3.75;
/** Largest length of a prompt or answer, in times its mean, by its spread. */
const SPREAD = 0.9;

/** One request at the group. */
export class GroupRequest {
  /** Times of its events. */
  readonly events: number[] = [];
  promptLeft: number;
  eventsLeft: number;
  /** When its prompt may begin to be read. */
  eligibleAt = Infinity;
  rank = -1;

  constructor(
    readonly arrivedAt: number,
    readonly topic: number,
    readonly promptTokens: number,
    readonly answerEvents: number,
    readonly entry: number,
  ) {
    this.promptLeft = promptTokens;
    this.eventsLeft = answerEvents;
  }
}

/** Draws a request as callers send them. */
export function drawRequest(
  at: number,
  size: deployment.GroupDeployment,
  liked: likedExperts.LikedExperts,
  random: common.Random,
): GroupRequest {
  const { meanPromptTokens, mostPromptTokens, meanEvents, mostEvents } = size;
  const prompt = logNormal(meanPromptTokens, random);
  const events = logNormal(meanEvents, random);
  return new GroupRequest(
    at,
    liked.drawTopic(),
    Math.max(60, Math.min(mostPromptTokens, Math.round(prompt))),
    Math.max(2, Math.min(mostEvents, Math.round(events))),
    random.below(size.entries),
  );
}

function logNormal(mean: number, random: common.Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.fraction())) *
    Math.cos(2 * Math.PI * random.fraction());
  return mean * Math.exp(SPREAD * normal - SPREAD ** 2 / 2);
}

/**
 * Engines of a group in lock-step: each pass lasts as long as the slowest rank's own
 * part plus, layer by layer, the part of the rank with the most chosen experts.
 */
export class GroupEngines {
  readonly running: GroupRequest[][];
  readonly waiting: GroupRequest[][];
  /** Ranks of each expert by layer. */
  places: number[][][];
  loading = false;
  /** Choices of each rank's requests since the start, by layer and expert. */
  readonly chosen: number[][][];
  /** Slowest over mean rank of the pass under way. */
  skew = 1;
  passMilliseconds = 0;

  constructor(
    readonly size: deployment.GroupDeployment,
    readonly liked: likedExperts.LikedExperts,
  ) {
    const { ranks, layers, expertsPerLayer } = size;
    this.running = Array.from({ length: ranks }, () => []);
    this.waiting = Array.from({ length: ranks }, () => []);
    this.places = Array.from({ length: layers }, () =>
      Array.from({ length: expertsPerLayer }, (_, expert) => [expert % ranks]),
    );
    this.chosen = Array.from({ length: ranks }, () =>
      Array.from({ length: layers }, () =>
        new Array<number>(expertsPerLayer).fill(0),
      ),
    );
  }

  /** Requests that run, over all ranks. */
  get active(): number {
    return this.running.reduce((sum, { length }) => sum + length, 0);
  }

  /** Requests at a rank, running or waiting. */
  loadOf(rank: number): number {
    return this.running[rank].length + this.waiting[rank].length;
  }

  /** Whether a request runs or waits at its rank. */
  has(request: GroupRequest): boolean {
    const { rank } = request;
    return (
      this.running[rank].includes(request) ||
      this.waiting[rank].includes(request)
    );
  }

  /** Takes a request at a rank. */
  take(request: GroupRequest, rank: number, now: number): void {
    request.rank = rank;
    request.eligibleAt = now + this.size.setUpMilliseconds;
    this.waiting[rank].push(request);
  }

  /** Begins a pass: which requests it reads and writes for; its length. */
  begin(now: number): { writers: GroupRequest[]; readers: GroupRequest[] } {
    const { size } = this;
    const writers: GroupRequest[] = [];
    const readers: GroupRequest[] = [];
    const weights = this.chosen[0].map((layer) => layer.map(() => 0));
    const work = this.running.map(() => 0);
    this.running.forEach((running, rank) => {
      const waiting = this.waiting[rank];
      while (running.length < size.slots) {
        const next = waiting.findIndex(({ eligibleAt }) => eligibleAt <= now);
        if (next < 0) break;
        running.push(...waiting.splice(next, 1));
      }
      let readable = size.chunkTokens * size.stepsPerPass;
      for (const request of running) {
        if (request.promptLeft > 0) {
          const tokens = Math.min(request.promptLeft, readable);
          readable -= tokens;
          request.promptLeft -= tokens;
          const milliseconds = tokens / size.promptTokensPerMillisecond;
          work[rank] += milliseconds;
          this.liked.addChoices(request.topic, milliseconds, weights);
          this.liked.addChoices(request.topic, tokens, this.chosen[rank]);
          if (request.promptLeft === 0) readers.push(request);
          continue;
        }
        writers.push(request);
        const milliseconds = size.stepsPerPass * size.sequenceMilliseconds;
        work[rank] += milliseconds;
        this.liked.addChoices(request.topic, milliseconds, weights);
        const tokens = size.stepsPerPass * CHOICES_PER_TOKEN_WRITTEN;
        this.liked.addChoices(request.topic, tokens, this.chosen[rank]);
      }
    });
    this.#time(work, weights);
    return { writers, readers };
  }

  #time(work: number[], weights: number[][]): void {
    const { size } = this;
    const own = Math.max(...work) * (1 - size.expertShare);
    let slowest = 0;
    let mean = 0;
    weights.forEach((layer, index) => {
      const loads = new Array<number>(size.ranks).fill(0);
      layer.forEach((weight, expert) => {
        const ranks = this.places[index][expert];
        for (const rank of ranks) loads[rank] += weight / ranks.length;
      });
      slowest += Math.max(...loads);
      mean += loads.reduce((sum, load) => sum + load, 0) / size.ranks;
    });
    this.skew = mean > 0 ? slowest / mean : 1;
    const experts = (slowest * size.expertShare) / size.layers;
    const steps = size.stepsPerPass * size.stepMilliseconds;
    const slowdown = this.loading ? LOADING_SLOWDOWN : 1;
    this.passMilliseconds = (steps + own + experts) * slowdown;
  }
}
