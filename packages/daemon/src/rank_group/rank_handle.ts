import type * as wire from "@geraniumkeel/wire";

/** How urgent the reply to an order is. */
export enum OrderUrgency {
  /** Ranks may stand still until it is carried out. */
  Awaited = "awaited",
  /** Nothing waits for it. */
  Unhurried = "unhurried",
}

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
   * outcome. It is awaited unless said otherwise.
   */
  order(order: wire.RankOrder, urgency?: OrderUrgency): Promise<wire.RankReply>;
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
