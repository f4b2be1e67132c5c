import type * as wire from "@geraniumkeel/wire";

/** One rank of a group as its coordinator reaches it. */
export interface RankPort {
  rank: number;
  host: string;
  /** The agent's incarnation now; `undefined` without a link. */
  incarnation: () => string | undefined;
  /** Gives an order to one incarnation; `undefined`: the answer is unknown. */
  order: (
    order: wire.Order,
    incarnation: string,
  ) => Promise<wire.OrderAnswer | undefined>;
}
