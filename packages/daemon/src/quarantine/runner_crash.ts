/** How far a run had come when it broke off. */
export enum RunProgress {
  /** Nothing of an answer had arrived. */
  Waiting = "waiting",
  /** The head of an answer had arrived, and its content at the most just now. */
  Begun = "begun",
  /** Content had been arriving for a while. */
  Writing = "writing",
  /** The data path does not follow it. */
  Unknown = "unknown",
}

/**
 * A run of a request that broke off without a complete answer, and not because
 * its caller disconnected.
 */
export interface InterruptedRun {
  /** The caller's own identifier of the request. */
  request: string;
  fingerprint: string;
  /**
   * When the request was sent to the runner, by this process's monotonic clock.
   */
  startedAt: number;
  progress: RunProgress;
  /** Parts of the prompt that other requests may share. */
  promptParts: readonly string[];
}

/** How an entry found out that a runner crashed. */
export enum CrashEvidence {
  /** The host of the runner refuses connections to the runner's address. */
  Refused = "refused",
  /** The runner list has another incarnation at the runner's address. */
  Replaced = "replaced",
  /** This entry or another had recorded the crash before. */
  Known = "known",
  /**
   * The upstream beside the runner reports the crash, or was itself restarted.
   */
  Reported = "reported",
}

/**
 * A crash of a runner: its process stopped unplanned while it ran requests of
 * this entry.
 */
export interface RunnerCrash {
  /** Identifies the incarnation of the runner that crashed. */
  life: string;
  runner: string;
  service: string;
  /** Version of the runner's software; empty if it is unknown. */
  version: string;
  /** When the runner crashed, by this process's monotonic clock. */
  endedAt: number;
  evidence: CrashEvidence;
  /** Runs of this entry that the crash interrupted. */
  runs: InterruptedRun[];
}
