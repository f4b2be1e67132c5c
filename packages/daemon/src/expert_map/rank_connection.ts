import type * as wire from "@geraniumkeel/wire";

/**
 * Connection from a group's coordinator to one rank. Orders go by way of the
 * upstream process beside the rank's engine.
 */
export interface RankConnection {
  /**
   * Incarnations of the upstream processes that are linked to this entry and
   * report that they serve the rank. The list is empty while none is linked. It
   * has two elements while the upstream processes of a replaced host and of its
   * replacement are both linked.
   */
  incarnations: () => string[];
  /**
   * Sends an order to an incarnation of the upstream process. Returns
   * `undefined` if that incarnation is not linked, or if it does not answer in
   * time and may have carried out the order.
   */
  order: (
    order: wire.Order,
    incarnation: string,
  ) => Promise<wire.OrderAnswer | undefined>;
}
