import type * as wire from "@geraniumkeel/wire";

/** Connection from a group's coordinator to one rank. */
export interface RankPort {
  /**
   * Incarnations of the linked agents that claim the rank. There is none while
   * no agent is linked, and two while a replaced host is still linked beside
   * its replacement.
   */
  incarnations: () => string[];
  /**
   * Sends an order to an incarnation; `undefined` if its outcome is unknown.
   */
  order: (
    order: wire.Order,
    incarnation: string,
  ) => Promise<wire.OrderAnswer | undefined>;
}
