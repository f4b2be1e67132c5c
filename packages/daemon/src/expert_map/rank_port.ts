import type * as wire from "@geraniumkeel/wire";

/** One rank of a group as its coordinator reaches it. */
export interface RankPort {
  /**
   * Incarnations of the linked agents that claim the rank. None while there is
   * no link; two while a replaced host is still there beside its successor.
   */
  incarnations: () => string[];
  /** Gives an order to one incarnation; `undefined`: the answer is unknown. */
  order: (
    order: wire.Order,
    incarnation: string,
  ) => Promise<wire.OrderAnswer | undefined>;
}
