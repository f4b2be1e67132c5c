import type * as processSignals from "../shutdown/process_signals.ts";

/** What was in force in this process at a moment, for log lines. */
export interface InForce {
  /** Version of the configuration; 0 before the first. */
  version: number;
  /** Milliseconds since that version came into force. */
  versionAge: number;
  /** The latest signal; `undefined` before the first. */
  signal: processSignals.ReceivedSignal | undefined;
}
