import * as common from "@geraniumkeel/common";
import * as crashCounts from "@geraniumkeel/daemon/quarantine/crash_counts";
import * as virtualTime from "../virtual_time.ts";

/** What runs in the model. Times are in milliseconds. */
export interface WorldShape {
  groups: number;
  /** Ranks of a group, which advance in lock-step; 1: each runner on its own. */
  ranks: number;
  requestsPerSecond: number;
  /** Part of the requests that ask for the same. */
  popularShare: number;
  /** Time for which one request comes again and ends its runners. */
  ending: { copies: number; pause: number } | undefined;
  /** When runners end for other reasons. */
  otherEnds: (random: common.Random) => { at: number; runners: number }[];
  proof: crashCounts.CrashCounts;
  duration: number;
  seed: number;
}

/** What came of a run of the model. */
export interface WorldResult {
  /** Requests that were held without reason, each once. */
  heldSingles: number;
  singles: number;
  /** Milliseconds for which the popular request was held. */
  popularHeld: number;
  /** Runners that the ending request took along. */
  endsUnder: number;
  /** Its sends later than three seconds after the third end. */
  lateSends: number;
}

const SHORTEST_RUN = 1_000;
const LONGEST_RUN = 2_500;
/** Time after which the ending request ends its runner. */
const ENDS_AFTER = 100;
/** Time for which a group stands still after it lost a rank. */
const STALL = 1_500;
/** Time until an ended runner is back and its group is formed anew. */
const RETURN = 3_800;
/** Time in which entries learn of an end. */
const TOLD_AFTER = 10;
const CALLER_RETURNS = 500;
const ATTEMPTS = 2;
const CALLER_TRIES = 2;
/** Time after the third end from which sends are counted. */
const GRACE = 3_000;
const POPULAR = "popular";
const ENDING = "ending";

interface Runner {
  group: number;
  upAt: number;
  openAt: number;
  runs: Set<Run>;
}

interface Run {
  name: string;
  startedAt: number;
  breakOff: () => void;
}

/** Runners, requests and ends in virtual time, judged by one rule of evidence. */
export class World {
  readonly #time = new virtualTime.VirtualTime();
  readonly #random: common.Random;
  readonly #runners: Runner[];
  readonly #blamed = new Map<string, crashCounts.CrashedRun[]>();
  readonly #held = new Map<string, number>();
  readonly #result: WorldResult = {
    heldSingles: 0,
    singles: 0,
    popularHeld: 0,
    endsUnder: 0,
    lateSends: 0,
  };
  #thirdEndAt = Infinity;

  constructor(readonly shape: WorldShape) {
    this.#random = new common.Random(shape.seed);
    const { groups, ranks } = shape;
    this.#runners = Array.from({ length: groups * ranks }, (_, index) => ({
      group: Math.floor(index / ranks),
      upAt: 0,
      openAt: 0,
      runs: new Set(),
    }));
  }

  /** Plays the model to its end. */
  async play(): Promise<WorldResult> {
    const { shape } = this;
    const pause = 1_000 / shape.requestsPerSecond;
    let at = 0;
    for (let number = 0; at < shape.duration; number++) {
      at += this.#random.exponential(pause);
      const popular = this.#random.fraction() < shape.popularShare;
      const name = popular ? POPULAR : `single-${number}`;
      if (!popular) this.#result.singles++;
      this.#time.schedule(at, () => this.#send(name, CALLER_TRIES, ATTEMPTS));
    }
    for (const { at, runners } of shape.otherEnds(this.#random)) {
      this.#time.schedule(at, () => this.#loseSome(runners));
    }
    const { ending } = shape;
    for (let at = 0; ending && at < shape.duration; at += ending.pause) {
      for (let copy = 0; copy < ending.copies; copy++) {
        this.#time.schedule(at + copy, () => this.#send(ENDING, 1, ATTEMPTS));
      }
    }
    await this.#time.run(shape.duration);
    this.#release(POPULAR);
    return this.#result;
  }

  get #now(): number {
    return this.#time.clock();
  }

  #send(name: string, tries: number, attempts: number): void {
    if (this.#held.has(name)) return;
    const open = this.#runners.filter(({ openAt }) => openAt <= this.#now);
    const again = () => {
      if (attempts > 1) {
        const at = this.#now + TOLD_AFTER;
        this.#time.schedule(at, () => this.#send(name, tries, attempts - 1));
      } else if (tries > 1) {
        const at = this.#now + CALLER_RETURNS;
        this.#time.schedule(at, () => this.#send(name, tries - 1, ATTEMPTS));
      }
    };
    if (open.length === 0) return again();
    if (name === ENDING && this.#now > this.#thirdEndAt + GRACE) {
      this.#result.lateSends++;
    }
    const runner = this.#random.pick(open);
    const run = { name, startedAt: this.#now, breakOff: again };
    runner.runs.add(run);
    const ends = name === ENDING;
    const lasts = ends
      ? ENDS_AFTER
      : this.#random.between(SHORTEST_RUN, LONGEST_RUN);
    this.#time.schedule(this.#now + lasts, () => {
      if (!runner.runs.has(run)) return;
      if (ends) return this.#end(runner);
      runner.runs.delete(run);
      this.#blamed.delete(name);
      this.#release(name);
    });
  }

  #loseSome(count: number): void {
    const up = this.#runners.filter(({ upAt }) => upAt <= this.#now);
    for (let left = count; left > 0 && up.length > 0; left--) {
      const [lost] = up.splice(this.#random.below(up.length), 1);
      this.#end(lost);
    }
  }

  #end(runner: Runner): void {
    runner.upAt = this.#now + RETURN;
    runner.openAt = runner.upAt;
    const names = new Set([...runner.runs].map(({ name }) => name));
    if (names.has(ENDING)) this.#countEnd();
    for (const { name, startedAt } of runner.runs) {
      const runs = this.#blamed.get(name) ?? [];
      const known = runs.some(({ endedAt }) => endedAt === this.#now);
      if (!known || !names.has(name)) {
        runs.push({ startedAt, endedAt: this.#now });
      }
      names.delete(name);
      this.#blamed.set(name, runs);
      const found = crashCounts.countCrashes(runs);
      if (!crashCounts.reachesThreshold(found, this.shape.proof)) continue;
      this.#time.schedule(this.#now + TOLD_AFTER, () => this.#hold(name));
    }
    this.#breakOff(runner);
    if (this.shape.ranks > 1) this.#stall(runner);
  }

  #countEnd(): void {
    this.#result.endsUnder++;
    if (this.#result.endsUnder === 3) this.#thirdEndAt = this.#now;
  }

  #stall(lost: Runner): void {
    const others = this.#runners.filter(({ group }) => group === lost.group);
    for (const other of others) other.openAt = lost.upAt;
    this.#time.schedule(this.#now + STALL, () => {
      for (const other of others) this.#breakOff(other);
    });
  }

  #breakOff(runner: Runner): void {
    const runs = [...runner.runs];
    runner.runs.clear();
    for (const run of runs) run.breakOff();
  }

  #hold(name: string): void {
    if (this.#held.has(name)) return;
    // A whole answer may have spoken for it meanwhile.
    const runs = this.#blamed.get(name) ?? [];
    if (
      !crashCounts.reachesThreshold(
        crashCounts.countCrashes(runs),
        this.shape.proof,
      )
    )
      return;
    this.#held.set(name, this.#now);
    if (name !== POPULAR && name !== ENDING) this.#result.heldSingles++;
  }

  #release(name: string): void {
    const since = this.#held.get(name);
    if (since === undefined) return;
    this.#held.delete(name);
    if (name === POPULAR) this.#result.popularHeld += this.#now - since;
  }
}
