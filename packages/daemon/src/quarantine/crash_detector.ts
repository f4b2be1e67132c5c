import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerCrash from "./runner_crash.ts";

/**
 * Time for which a run that broke off waits to be explained, in milliseconds. A runner
 * that fell silent is listed under a new life some seconds later.
 */
const KEPT_MILLISECONDS = 30_000;
/**
 * Longest time for which the next attempt of a request waits for the look at the
 * runner of the last one, in milliseconds. It takes as long as making a connection.
 */
const LONGEST_WAIT_MILLISECONDS = 60;
/** Runs that wait to be explained, at most. */
const MOST_RUNS = 10_000;

/** One life of a runner at which runs broke off that are not explained. */
interface WatchedRunner {
  runner: traffic.RunnerEntry;
  brokenAt: number;
  runs: runnerCrash.InterruptedRun[];
  /** The look that is under way. */
  look: Promise<void> | undefined;
}

/** What watching runners' ends needs. */
export interface CrashDetectorParameters {
  presenceOf: (runner: traffic.RunnerEntry) => Promise<common.Presence>;
  /** Whether the runner is listed and not leaving. */
  inUse: (runner: traffic.RunnerEntry) => boolean;
  /** When a life of a runner ended, if any entry saw it. */
  crashTimeOf: (life: string) => number | undefined;
  /** Told once for each run that a runner's end explains. */
  onCrash: (end: runnerCrash.RunnerCrash) => void;
}

/**
 * Tells a runner's end from all else that breaks a run off. A lost link, a frozen host
 * and a group that lost another rank look the same from the run; only the address of a
 * runner that ended refuses connections, and is listed under a new life later.
 */
export class CrashDetector {
  readonly #watched = new Map<string, WatchedRunner>();
  #runs = 0;

  constructor(readonly parameters: CrashDetectorParameters) {}

  /**
   * Takes a run that broke off; resolves when it is known whether its runner ended, or
   * after a moment. A runner that is leaving ends as planned, and explains nothing.
   */
  async investigate(
    runner: traffic.RunnerEntry,
    run: runnerCrash.InterruptedRun,
  ): Promise<void> {
    this.#forgetOld();
    const life = traffic.incarnationOf(runner);
    const endedAt = this.parameters.crashTimeOf(life);
    if (endedAt !== undefined) {
      const evidence = runnerCrash.CrashEvidence.Known;
      const end = { ...factsOf(runner), endedAt, evidence, runs: [run] };
      return this.parameters.onCrash(end);
    }
    if (!this.parameters.inUse(runner) || this.#runs >= MOST_RUNS) return;
    const watched = this.#watched.get(life) ?? this.#watch(runner);
    watched.runs.push(run);
    this.#runs++;
    watched.look ??= this.#look(watched);
    await common.withTimeout(watched.look, LONGEST_WAIT_MILLISECONDS);
  }

  /** Another entry saw a life of a runner end, some time ago. */
  applyReportedCrash(life: string, endedAt: number): void {
    const watched = this.#watched.get(life);
    if (!watched) return;
    this.#ended(watched, runnerCrash.CrashEvidence.Known, endedAt);
  }

  /** Takes a new list: a runner whose address another life has now has ended. */
  applyList(list: traffic.RunnerList): void {
    if (this.#runs === 0) return;
    const lives = new Map(
      list.runners.map((entry) => [
        traffic.placeOf(entry),
        traffic.incarnationOf(entry),
      ]),
    );
    for (const [life, watched] of this.#watched) {
      const present = lives.get(traffic.placeOf(watched.runner));
      if (present === undefined || present === life) continue;
      const evidence = runnerCrash.CrashEvidence.Replaced;
      this.#ended(watched, evidence, watched.brokenAt);
    }
  }

  #watch(runner: traffic.RunnerEntry): WatchedRunner {
    const brokenAt = common.now();
    const watched = { runner, brokenAt, runs: [], look: undefined };
    this.#watched.set(traffic.incarnationOf(runner), watched);
    return watched;
  }

  async #look(watched: WatchedRunner): Promise<void> {
    const presence = await this.parameters.presenceOf(watched.runner);
    watched.look = undefined;
    switch (presence) {
      case common.Presence.Refused: {
        const evidence = runnerCrash.CrashEvidence.Refused;
        return this.#ended(watched, evidence, watched.brokenAt);
      }
      case common.Presence.Listening:
        this.#forget(watched);
        return;
      case common.Presence.Silent:
        // A host that is cut off or has lost power: the list will tell.
        return;
    }
  }

  #ended(
    watched: WatchedRunner,
    evidence: runnerCrash.CrashEvidence,
    endedAt: number,
  ): void {
    const { runner, runs } = watched;
    if (!this.#forget(watched)) return;
    this.parameters.onCrash({ ...factsOf(runner), endedAt, evidence, runs });
  }

  /** Forgets a runner with its runs; false if that was done before. */
  #forget(watched: WatchedRunner): boolean {
    if (!this.#watched.delete(traffic.incarnationOf(watched.runner)))
      return false;
    this.#runs -= watched.runs.length;
    return true;
  }

  #forgetOld(): void {
    const oldest = common.now() - KEPT_MILLISECONDS;
    for (const watched of this.#watched.values()) {
      // In order of time: what follows is younger.
      if (watched.brokenAt > oldest) return;
      this.#forget(watched);
    }
  }
}

function factsOf(
  runner: traffic.RunnerEntry,
): Pick<runnerCrash.RunnerCrash, "life" | "runner" | "service" | "version"> {
  const { identifier, service, version } = runner;
  return {
    life: traffic.incarnationOf(runner),
    runner: identifier,
    service,
    version,
  };
}
