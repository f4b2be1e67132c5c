import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerCrash from "./runner_crash.ts";

/**
 * Time for which a run that broke off waits to be explained, in milliseconds. A runner
 * that fell silent is listed under a new life some seconds later.
 */
const RUN_RETENTION_MILLISECONDS = 30_000;
/**
 * Longest time for which the next attempt of a request waits for the look at the
 * runner of the last one, in milliseconds. It takes as long as making a connection.
 */
const MAX_PROBE_WAIT_MILLISECONDS = 60;
/** Runs that wait to be explained, at most. */
const MAX_RETAINED_RUNS = 10_000;

/** One life of a runner at which runs broke off that are not explained. */
interface Investigation {
  runner: traffic.RunnerEntry;
  interruptedAt: number;
  runs: runnerCrash.InterruptedRun[];
  /** The look that is under way. */
  probe: Promise<void> | undefined;
}

/** What watching runners' ends needs. */
export interface CrashDetectorParameters {
  presenceOf: (runner: traffic.RunnerEntry) => Promise<common.Presence>;
  /** Whether the runner is listed and not leaving. */
  inUse: (runner: traffic.RunnerEntry) => boolean;
  /** When a life of a runner ended, if any entry saw it. */
  crashTimeOf: (incarnation: string) => number | undefined;
  /** Told once for each run that a runner's end explains. */
  onCrash: (crash: runnerCrash.RunnerCrash) => void;
}

/**
 * Tells a runner's end from all else that breaks a run off. A lost link, a frozen host
 * and a group that lost another rank look the same from the run; only the address of a
 * runner that ended refuses connections, and is listed under a new life later.
 */
export class CrashDetector {
  readonly #investigations = new Map<string, Investigation>();
  #runCount = 0;

  constructor(readonly parameters: CrashDetectorParameters) {}

  /**
   * Takes a run that broke off; resolves when it is known whether its runner ended, or
   * after a moment. A runner that is leaving ends as planned, and explains nothing.
   */
  async investigate(
    runner: traffic.RunnerEntry,
    run: runnerCrash.InterruptedRun,
  ): Promise<void> {
    this.#closeExpired();
    const incarnation = traffic.incarnationOf(runner);
    const endedAt = this.parameters.crashTimeOf(incarnation);
    if (endedAt !== undefined) {
      const evidence = runnerCrash.CrashEvidence.Known;
      const crash = { ...identityOf(runner), endedAt, evidence, runs: [run] };
      return this.parameters.onCrash(crash);
    }
    if (!this.parameters.inUse(runner) || this.#runCount >= MAX_RETAINED_RUNS)
      return;
    const investigation =
      this.#investigations.get(incarnation) ?? this.#openInvestigation(runner);
    investigation.runs.push(run);
    this.#runCount++;
    investigation.probe ??= this.#probe(investigation);
    await common.withTimeout(investigation.probe, MAX_PROBE_WAIT_MILLISECONDS);
  }

  /** Another entry saw a life of a runner end, some time ago. */
  applyReportedCrash(incarnation: string, endedAt: number): void {
    const investigation = this.#investigations.get(incarnation);
    if (!investigation) return;
    this.#confirmCrash(investigation, runnerCrash.CrashEvidence.Known, endedAt);
  }

  /** Takes a new list: a runner whose address another life has now has ended. */
  applyList(list: traffic.RunnerList): void {
    if (this.#runCount === 0) return;
    const incarnationByPlace = new Map(
      list.runners.map((entry) => [
        traffic.placeOf(entry),
        traffic.incarnationOf(entry),
      ]),
    );
    for (const [incarnation, investigation] of this.#investigations) {
      const listed = incarnationByPlace.get(
        traffic.placeOf(investigation.runner),
      );
      if (listed === undefined || listed === incarnation) continue;
      const evidence = runnerCrash.CrashEvidence.Replaced;
      this.#confirmCrash(investigation, evidence, investigation.interruptedAt);
    }
  }

  #openInvestigation(runner: traffic.RunnerEntry): Investigation {
    const interruptedAt = common.now();
    const investigation = { runner, interruptedAt, runs: [], probe: undefined };
    this.#investigations.set(traffic.incarnationOf(runner), investigation);
    return investigation;
  }

  async #probe(investigation: Investigation): Promise<void> {
    const presence = await this.parameters.presenceOf(investigation.runner);
    investigation.probe = undefined;
    switch (presence) {
      case common.Presence.Refused: {
        const evidence = runnerCrash.CrashEvidence.Refused;
        return this.#confirmCrash(
          investigation,
          evidence,
          investigation.interruptedAt,
        );
      }
      case common.Presence.Listening:
        this.#close(investigation);
        return;
      case common.Presence.Silent:
        // A host that is cut off or has lost power: the list will tell.
        return;
    }
  }

  #confirmCrash(
    investigation: Investigation,
    evidence: runnerCrash.CrashEvidence,
    endedAt: number,
  ): void {
    const { runner, runs } = investigation;
    if (!this.#close(investigation)) return;
    this.parameters.onCrash({ ...identityOf(runner), endedAt, evidence, runs });
  }

  /** Forgets a runner with its runs; false if that was done before. */
  #close(investigation: Investigation): boolean {
    if (
      !this.#investigations.delete(traffic.incarnationOf(investigation.runner))
    )
      return false;
    this.#runCount -= investigation.runs.length;
    return true;
  }

  #closeExpired(): void {
    const oldest = common.now() - RUN_RETENTION_MILLISECONDS;
    for (const investigation of this.#investigations.values()) {
      // In order of time: what follows is younger.
      if (investigation.interruptedAt > oldest) return;
      this.#close(investigation);
    }
  }
}

function identityOf(
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
