import type * as wire from "@geraniumkeel/wire";

/**
 * A leader's handle on one rank of its group: the state last received, and the
 * way to give the rank orders.
 */
export interface RankHandle {
  readonly rank: number;
  /** The latest state received; `undefined` before the first one. */
  readonly status: wire.RankStatus | undefined;
  /**
   * Sends an order through the process beside the rank, and returns the
   * outcome.
   */
  order(order: wire.RankOrder): Promise<wire.RankReply>;
  /**
   * Sends an order from this host to the engine, without the process beside the
   * rank, and returns the outcome.
   */
  orderDirectly(order: wire.RankOrder): Promise<wire.RankReply>;
  /** Reads the state from the engine directly. Returns whether it answered. */
  refresh(): Promise<boolean>;
}

/** Waits a moment before something is checked or tried again. */
export type Pause = () => Promise<void>;
