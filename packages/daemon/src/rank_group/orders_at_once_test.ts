import * as ava from "ava";
import * as ordersAtOnce from "./orders_at_once.ts";

const test = ava.default;

const HEARTBEAT_MILLISECONDS = 200;

// Guards against heartbeats that wait behind orders until ranks take the lead.
test("orders under way at once leave room for a heartbeat on links from 500 KB/s", (t) => {
  for (const linkBytesPerSecond of [500_000, 2_000_000, 125_000_000]) {
    for (const mapBytes of [50, 1_200, 8_000]) {
      const orders = ordersAtOnce.ordersAtOnce(mapBytes, linkBytesPerSecond);
      const milliseconds = (orders * mapBytes * 1_000) / linkBytesPerSecond;
      t.true(milliseconds < HEARTBEAT_MILLISECONDS / 2 + 1);
    }
  }
});
