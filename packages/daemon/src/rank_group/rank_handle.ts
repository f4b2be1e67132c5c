import type * as wire from "@geraniumkeel/wire";

/** One rank, as the leader of its group reaches it. */
export interface RankHandle {
  readonly rank: number;
  /** State as last heard. */
  readonly status: wire.RankStatus | undefined;
  /** Gives an order by the process beside the rank and tells how it ended. */
  order(order: wire.RankOrder): Promise<wire.RankReply>;
  /** Gives an order from this host, without the process beside the rank. */
  orderDirectly(order: wire.RankOrder): Promise<wire.RankReply>;
  /** Reads the state from the engine itself; whether it answered. */
  refresh(): Promise<boolean>;
}

/** Waits a moment before something is looked at or tried again. */
export type Pause = () => Promise<void>;
