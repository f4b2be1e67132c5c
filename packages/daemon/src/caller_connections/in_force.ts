/** What was in force in this process at a moment, for log lines. */
export interface InForce {
  /** Version of the configuration; 0 before the first. */
  version: number;
  /** Milliseconds since that version came into force. */
  versionAge: number;
  /** Milliseconds since each signal that was received, by its name. */
  signalAges: Record<string, number>;
}
