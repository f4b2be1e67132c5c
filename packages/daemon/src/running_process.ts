/** A started process of either role, as its owner sees it. */
export interface RunningProcess {
  /** Base URL of each listener, by name. */
  urls: Record<string, string>;
  /** The state dump. */
  state: () => unknown;
  /** Requests that a stop right now would lose. */
  unfinished: () => number;
  /** Refuses new work and resolves when accepted work is finished. */
  drain: () => Promise<void>;
  /** Closes everything; resolves to the names of parts that closed late. */
  stop: () => Promise<string[]>;
}
