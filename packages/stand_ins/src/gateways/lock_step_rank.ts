import type * as common from "@geraniumkeel/common";
import type * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as lockStepRun from "./lock_step_run.ts";

/** How long the steps of a run take, in milliseconds. */
export interface RunPace {
  /** Shortest and longest time for reading a prompt. */
  read: { least: number; most: number };
  /** From the head of an answer to its first event. */
  first: number;
  /** From one event to the next. */
  event: number;
  events: number;
}

/** What a rank needs of its pool. */
export interface LockStepRankParameters {
  place: number;
  pace: RunPace;
  slots: number;
  random: common.Random;
  /** Whether a request crashes the rank that begins to write its answer. */
  isCrashing: (call: daemon.RunnerCall) => boolean;
  /** Called when a request begins to run. */
  onBegin: (run: lockStepRun.LockStepRun) => void;
  /** Called when a request crashes the rank. */
  onCrash: (rank: LockStepRank, run: lockStepRun.LockStepRun) => void;
}

/** State of a rank's group, as it matters to requests. */
export enum GroupState {
  Open = "open",
  /** A rank is lost, and nothing gets on. */
  Stalled = "stalled",
  /** What was there is broken off; the group is not formed again yet. */
  Broken = "broken",
}

/** A rank of a group that advances in lock-step. */
export class LockStepRank {
  #incarnation = 1;
  #up = true;
  /** State of the rank's group. */
  state = GroupState.Open;
  readonly #waiting: lockStepRun.LockStepRun[] = [];
  readonly #running = new Set<lockStepRun.LockStepRun>();

  constructor(readonly parameters: LockStepRankParameters) {}

  /** Name of the present incarnation. */
  get identifier(): string {
    return `i-${this.parameters.place}-${this.#incarnation}`;
  }

  /** Number that grows with each incarnation. */
  get bornAt(): number {
    return this.#incarnation;
  }

  /** Whether it accepts connections. */
  get up(): boolean {
    return this.#up;
  }

  /** Takes a request. */
  take(entry: string, call: daemon.RunnerCall): lockStepRun.LockStepRun {
    const run = new lockStepRun.LockStepRun(entry, call);
    if (this.state === GroupState.Broken) run.refuse();
    else this.#waiting.push(run);
    this.#admit();
    return run;
  }

  /** The process ends, with all that is under way. */
  crash(): void {
    this.#up = false;
    this.#endAll((run) => run.breakOff());
  }

  /** The next incarnation starts. */
  restart(): void {
    this.#incarnation++;
    this.#up = true;
  }

  /** Breaks off what has begun and turns away what waits. */
  breakGroup(): void {
    this.state = GroupState.Broken;
    this.#endAll((run) => (run.begun ? run.breakOff() : run.refuse()));
  }

  #endAll(end: (run: lockStepRun.LockStepRun) => void): void {
    const runs = [...this.#running, ...this.#waiting.splice(0)];
    this.#running.clear();
    for (const run of runs) end(run);
  }

  #admit(): void {
    const { slots } = this.parameters;
    while (this.state === GroupState.Open && this.#running.size < slots) {
      const run = this.#waiting.shift();
      if (!run) return;
      if (run.ended) continue;
      this.#running.add(run);
      this.#read(run);
    }
  }

  #read(run: lockStepRun.LockStepRun): void {
    const { pace, random } = this.parameters;
    const time = random.between(pace.read.least, pace.read.most);
    this.#after(time, run, () => {
      run.begin();
      this.parameters.onBegin(run);
      this.#after(pace.first, run, () => this.#write(run));
    });
  }

  #write(run: lockStepRun.LockStepRun): void {
    const { isCrashing, onCrash, pace } = this.parameters;
    if (isCrashing(run.call)) return onCrash(this, run);
    const from = Number(run.call.resumeAfter) + 1;
    this.#send(run, from, pace.events);
  }

  #send(run: lockStepRun.LockStepRun, number: number, last: number): void {
    if (number > last) {
      this.#running.delete(run);
      run.complete();
      return this.#admit();
    }
    run.send(number);
    this.#after(this.parameters.pace.event, run, () =>
      this.#send(run, number + 1, last),
    );
  }

  /** Goes on after a time, unless the run has ended or the group stands still. */
  #after(
    milliseconds: number,
    run: lockStepRun.LockStepRun,
    next: () => void,
  ): void {
    setTimeout(() => {
      if (run.ended) {
        if (this.#running.delete(run)) this.#admit();
        return;
      }
      if (this.state === GroupState.Open) next();
    }, milliseconds);
  }
}
