/**
 * Handle of a started entry or upstream process, for the code that started it.
 */
export interface RunningProcess {
  /** Base URL of each listener, by name. */
  urls: Record<string, string>;
  /** Returns the state dump. */
  state: () => unknown;
  /** Number of accepted requests that an immediate stop would lose. */
  unfinished: () => number;
  /** Refuses new work; resolves when the accepted work is finished. */
  drain: () => Promise<void>;
  /**
   * Closes all resources; resolves to the names of those that did not close in
   * time.
   */
  stop: () => Promise<string[]>;
}
