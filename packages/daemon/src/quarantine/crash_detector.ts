import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerCrash from "./runner_crash.ts";

/**
 * Time for which the detector retains an interrupted run whose cause is
 * unknown. A runner that crashed together with its host is listed as a new
 * incarnation only some seconds later.
 */
const RUN_RETENTION_MILLISECONDS = 30_000;
/**
 * Longest time for which the next attempt of a request waits for the probe of
 * the runner of the previous attempt. A probe takes the time of making a
 * connection.
 */
const MAX_PROBE_WAIT_MILLISECONDS = 60;
/** Largest number of interrupted runs that the detector retains. */
const MAX_RETAINED_RUNS = 10_000;

/**
 * Interrupted runs of one incarnation of a runner, whose cause is not known
 * yet.
 */
interface Investigation {
  runner: traffic.RunnerEntry;
  /** When the first of the runs was interrupted, by the monotonic clock. */
  interruptedAt: number;
  runs: runnerCrash.InterruptedRun[];
  /** The probe of the runner's address that is under way, if any. */
  probe: Promise<void> | undefined;
}

/** What the crash detector needs of its entry. */
export interface CrashDetectorParameters {
  /** Tests whether anything accepts connections at the runner's address. */
  presenceOf: (runner: traffic.RunnerEntry) => Promise<common.Presence>;
  /** Whether the runner is listed and not leaving. */
  inUse: (runner: traffic.RunnerEntry) => boolean;
  /**
   * When an incarnation crashed; `undefined` if no crash of it is recorded, or
   * if the recorded crash was disproved.
   */
  crashTimeOf: (incarnation: string) => number | undefined;
  /** Called with each crash; each run that a crash explains is passed once. */
  onCrash: (crash: runnerCrash.RunnerCrash) => void;
}

/**
 * Tells crashes of runners from other causes that interrupt runs. A lost link,
 * a frozen host and a group that lost another rank interrupt a run in the same
 * way. But only the address of a crashed runner refuses connections, or later
 * belongs to a new incarnation in the runner list.
 */
export class CrashDetector {
  readonly #investigations = new Map<string, Investigation>();
  #runCount = 0;

  constructor(readonly parameters: CrashDetectorParameters) {}

  /**
   * Finds out whether a run was interrupted because its runner crashed, and if
   * so calls `onCrash`. Resolves after the probe of the runner, or after
   * `MAX_PROBE_WAIT_MILLISECONDS`. A runner that is leaving stops as planned,
   * so its stop is no crash.
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

  /**
   * Forgets a run that was investigated because its runner was silent, and that
   * has got on.
   */
  withdraw(runner: traffic.RunnerEntry, request: string): void {
    const incarnation = traffic.incarnationOf(runner);
    const investigation = this.#investigations.get(incarnation);
    if (!investigation) return;
    const { runs } = investigation;
    const others = runs.filter((run) => run.request !== request);
    this.#runCount -= runs.length - others.length;
    investigation.runs = others;
    if (others.length === 0) this.#close(investigation);
  }

  /**
   * Applies a crash that another entry has reported to the interrupted runs of
   * this incarnation.
   */
  applyReportedCrash(incarnation: string, endedAt: number): void {
    const investigation = this.#investigations.get(incarnation);
    if (!investigation) return;
    this.#confirmCrash(investigation, runnerCrash.CrashEvidence.Known, endedAt);
  }

  /**
   * Applies a new runner list: where it has another incarnation at a runner's
   * address, that runner has crashed.
   */
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
        // The host is unreachable or has lost power. Only a later runner list
        // can show which: a restarted runner is listed as a new incarnation.
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

  /** Removes an investigation with its runs; false if it was removed before. */
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
      // The map is in order of time, so all that follow are newer.
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
