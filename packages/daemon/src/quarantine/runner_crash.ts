/** A run of a request that ended without an answer, and not because its caller left. */
export interface InterruptedRun {
  /** The caller's own name for the request. */
  request: string;
  fingerprint: string;
  /** When it was sent, by this process's monotonic clock. */
  startedAt: number;
}

/** How it was found out that a runner has ended. */
export enum CrashEvidence {
  /** Nothing accepts connections at its address any more. */
  Refused = "refused",
  /** Another runner, or another life of it, is listed at its address. */
  Replaced = "replaced",
  /** Its end was known before, from this entry or another. */
  Known = "known",
  /** The process on its host says so, or is itself another one now. */
  Reported = "reported",
}

/** A runner that ended, with runs of this entry that were under way there. */
export interface RunnerCrash {
  /** Names one life of the runner. */
  life: string;
  runner: string;
  service: string;
  /** Version of its software; empty if it is not known. */
  version: string;
  /** When it ended, by this process's monotonic clock. */
  endedAt: number;
  evidence: CrashEvidence;
  runs: InterruptedRun[];
}
