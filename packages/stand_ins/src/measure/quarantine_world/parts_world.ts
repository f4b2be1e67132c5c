import * as common from "@geraniumkeel/common";
import type * as partProof from "@geraniumkeel/daemon/quarantine/part_proof";
import * as virtualTime from "../virtual_time.ts";
import * as partsEvidence from "./parts_evidence.ts";

/** What runs in the model. Times are in milliseconds. */
export interface PartsWorldShape {
  groups: number;
  /** Ranks of a group, which advance in lock-step. */
  ranks: number;
  requestsPerSecond: number;
  /** Whether all requests carry one part besides their own ones. */
  hasCommonPart: boolean;
  /** Requests a second with the part that crashes ranks; 0 for none. */
  crashingPerSecond: number;
  /** Times that a caller sends a request again that failed. */
  callerRetries: number;
  /** Whether entries send a request on whose answer had begun at a crash. */
  sendsOn: boolean;
  /** When ranks crash for other reasons. */
  otherEnds: (random: common.Random) => { at: number; runners: number }[];
  evidence: partsEvidence.Evidence;
  threshold: partProof.PartThreshold;
  duration: number;
  seed: number;
}

/** What came of a run of the model. */
export interface PartsWorldResult {
  /** Ranks that crashed under the part. */
  crashes: number;
  /** Sends of the part later than three seconds after the fifth crash. */
  lateSends: number;
  /** Sound parts that were quarantined, each once. */
  soundHeld: number;
  /** Sound requests that were refused for a part, and all of them. */
  soundRefused: number;
  sound: number;
}

const SHARED_PARTS = 60;
const COMMON_PART = "common";
const CULPRIT = "culprit";
const READING = { least: 20, most: 200 };
const FIRST_EVENT = 80;
const PROVEN_WRITING = 100;
const WRITING = { least: 800, most: 2_400 };
const STALL = 1_500;
const RETURN = 3_800;
const TOLD_AFTER = 10;
const CALLER_RETURNS = 100;
const ATTEMPTS = 2;
const CRASHES_ALLOWED = 5;
const GRACE = 3_000;

interface Rank {
  group: number;
  upAt: number;
  openAt: number;
  runs: Set<Run>;
}

interface Request {
  name: string;
  parts: readonly string[];
  attempts: number;
  tries: number;
}

interface Run extends partsEvidence.SuspectRun {
  of: Request;
}

/** Ranks and requests with parts in virtual time, judged by one rule of evidence. */
export class PartsWorld {
  readonly #time = new virtualTime.VirtualTime();
  readonly #random: common.Random;
  readonly #ranks: Rank[];
  readonly #evidence: partsEvidence.PartsEvidence;
  readonly #everHeld = new Set<string>();
  readonly #result: PartsWorldResult = {
    crashes: 0,
    lateSends: 0,
    soundHeld: 0,
    soundRefused: 0,
    sound: 0,
  };
  #lastAllowedAt = Infinity;

  constructor(readonly shape: PartsWorldShape) {
    this.#random = new common.Random(shape.seed);
    const { groups, ranks, evidence, threshold } = shape;
    this.#evidence = new partsEvidence.PartsEvidence({
      evidence,
      threshold,
      frequencyOf: (part) => this.#frequencyOf(part),
    });
    this.#ranks = Array.from({ length: groups * ranks }, (_, index) => ({
      group: Math.floor(index / ranks),
      upAt: 0,
      openAt: 0,
      runs: new Set(),
    }));
  }

  /** Plays the model to its end. */
  async play(): Promise<PartsWorldResult> {
    const { shape } = this;
    this.#arrive(shape.requestsPerSecond, []);
    this.#arrive(shape.crashingPerSecond, [CULPRIT]);
    for (const { at, runners } of shape.otherEnds(this.#random))
      this.#time.schedule(at, () => this.#loseSome(runners));
    await this.#time.run(shape.duration);
    this.#everHeld.delete(CULPRIT);
    this.#result.soundHeld = this.#everHeld.size;
    return this.#result;
  }

  get #now(): number {
    return this.#time.clock();
  }

  #arrive(perSecond: number, further: string[]): void {
    if (perSecond === 0) return;
    const { duration, hasCommonPart, callerRetries } = this.shape;
    const common = hasCommonPart ? [COMMON_PART] : [];
    let at = 0;
    for (let number = 0; ; number++) {
      at += this.#random.exponential(1_000 / perSecond);
      if (at >= duration) return;
      const rank = Math.floor(SHARED_PARTS * this.#random.fraction() ** 2);
      const parts = [...common, `shared-${rank}`, ...further];
      const name = `${further.join()} ${number}`;
      const tries = 1 + callerRetries;
      this.#time.schedule(at, () =>
        this.#send({ name, parts, tries, attempts: ATTEMPTS }),
      );
    }
  }

  #frequencyOf(part: string): number {
    const { requestsPerSecond, crashingPerSecond } = this.shape;
    switch (part) {
      case COMMON_PART:
        return 1;
      case CULPRIT:
        return crashingPerSecond / (requestsPerSecond + crashingPerSecond);
      default: {
        const rank = Number(part.split("-")[1]);
        const upTo = (count: number) => Math.sqrt(count / SHARED_PARTS);
        return upTo(rank + 1) - upTo(rank);
      }
    }
  }

  #send(request: Request): void {
    const isCrashing = request.parts.includes(CULPRIT);
    if (!isCrashing) this.#result.sound++;
    if (request.parts.some((part) => this.#evidence.held.has(part))) {
      if (!isCrashing) this.#result.soundRefused++;
      return;
    }
    const open = this.#ranks.filter(({ openAt }) => openAt <= this.#now);
    if (open.length === 0) return this.#comeBack(request);
    if (isCrashing && this.#now > this.#lastAllowedAt + GRACE)
      this.#result.lateSends++;
    const rank = this.#random.pick(open);
    const run: Run = {
      of: request,
      request: request.name,
      parts: request.parts,
      startedAt: this.#now,
      begun: false,
      writing: false,
    };
    rank.runs.add(run);
    this.#after(
      rank,
      run,
      this.#random.between(READING.least, READING.most),
      () => this.#begin(rank, run),
    );
  }

  #begin(rank: Rank, run: Run): void {
    run.begun = true;
    this.#after(rank, run, FIRST_EVENT, () => {
      if (run.parts.includes(CULPRIT)) return this.#crash(rank, true);
      const since = this.#now;
      this.#after(rank, run, PROVEN_WRITING, () => {
        run.writing = true;
        this.#time.schedule(this.#now + TOLD_AFTER, () =>
          this.#evidence.clear(run.parts, since),
        );
      });
      const lasts = this.#random.between(WRITING.least, WRITING.most);
      this.#after(rank, run, lasts, () => rank.runs.delete(run));
    });
  }

  /** Goes on after a time, unless the run has ended or its group stands still. */
  #after(rank: Rank, run: Run, milliseconds: number, next: () => void): void {
    this.#time.schedule(this.#now + milliseconds, () => {
      if (rank.runs.has(run) && rank.openAt <= this.#now) next();
    });
  }

  #loseSome(count: number): void {
    const up = this.#ranks.filter(({ upAt }) => upAt <= this.#now);
    for (let left = count; left > 0 && up.length > 0; left--) {
      const [lost] = up.splice(this.#random.below(up.length), 1);
      this.#crash(lost, false);
    }
  }

  #crash(rank: Rank, isOfPart: boolean): void {
    if (isOfPart && ++this.#result.crashes === CRASHES_ALLOWED)
      this.#lastAllowedAt = this.#now;
    rank.upAt = this.#now + RETURN;
    const runs = [...rank.runs];
    const endedAt = this.#now;
    this.#time.schedule(this.#now + TOLD_AFTER, () => {
      this.#evidence.addCrash(endedAt, runs);
      for (const part of this.#evidence.held) this.#everHeld.add(part);
      this.#stopHeld();
    });
    for (const run of runs) this.#breakOff(rank, run, true);
    const others = this.#ranks.filter(({ group }) => group === rank.group);
    for (const other of others) other.openAt = rank.upAt;
    this.#time.schedule(this.#now + STALL, () => {
      for (const other of others) {
        for (const run of [...other.runs]) this.#breakOff(other, run, false);
      }
    });
  }

  /** Runs without content are stopped when a part of theirs is quarantined. */
  #stopHeld(): void {
    for (const { runs } of this.#ranks) {
      for (const run of [...runs]) {
        const isHeld = run.parts.some((part) => this.#evidence.held.has(part));
        if (isHeld && !run.writing) runs.delete(run);
      }
    }
  }

  #breakOff(rank: Rank, run: Run, crashed: boolean): void {
    rank.runs.delete(run);
    const isLikelyCulprit = crashed && run.begun && !run.writing;
    if (isLikelyCulprit && !this.shape.sendsOn) run.of.attempts = 0;
    this.#comeBack(run.of);
  }

  #comeBack(request: Request): void {
    const { attempts, tries } = request;
    if (attempts > 1) {
      const again = { ...request, attempts: attempts - 1 };
      this.#time.schedule(this.#now + TOLD_AFTER, () => this.#send(again));
    } else if (tries > 1) {
      const again = { ...request, tries: tries - 1, attempts: ATTEMPTS };
      this.#time.schedule(this.#now + CALLER_RETURNS, () => this.#send(again));
    }
  }
}
