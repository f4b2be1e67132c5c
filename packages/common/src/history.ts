/**
 * Hook for recording what a process did, for the history checkers. Off in
 * production: the default recorder does nothing.
 */
export interface HistoryRecorder {
  record(entry: HistoryEntry): void;
}

/** One recorded fact; `kind` names it, the rest is plain data. */
export interface HistoryEntry {
  kind: string;
  [field: string]: unknown;
}

/** A recorder that drops everything. */
export function noHistory(): HistoryRecorder {
  return { record: () => {} };
}
