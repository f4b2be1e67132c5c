/**
 * Time for which orders that are under way at once may occupy the link of the
 * leader's host. Its heartbeats wait behind them, and ranks without a heartbeat for
 * 700 ms take the lead.
 */
const MAX_LINK_MILLISECONDS = 100;
/** Bytes of an order besides its map: fields of the message, frame and headers. */
const MESSAGE_BYTES = 150;
/** Orders that are under way at once however slow the link is. */
const MIN_ORDERS = 4;

/** To how many ranks at once a leader sends an order to load a map. */
export function ordersAtOnce(
  mapBytes: number,
  linkBytesPerSecond: number,
): number {
  const maxBytes = (linkBytesPerSecond * MAX_LINK_MILLISECONDS) / 1_000;
  return Math.max(
    MIN_ORDERS,
    Math.floor(maxBytes / (mapBytes + MESSAGE_BYTES)),
  );
}
