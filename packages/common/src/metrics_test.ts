import * as dgram from "node:dgram";
import * as ava from "ava";
import * as metrics from "./metrics.ts";

const test = ava.default;

test("metrics reach a StatsD collector with prefix and tags", async (t) => {
  const socket = dgram.createSocket("udp4");
  t.teardown(() => socket.close());
  await new Promise<void>((resolve) =>
    socket.bind(0, "127.0.0.1", () => resolve()),
  );
  const received = new Promise<string>((resolve) =>
    socket.once("message", (data) => resolve(data.toString())),
  );
  const sender = metrics.createMetrics({
    address: "127.0.0.1",
    port: socket.address().port,
    host: "entry-1",
  });
  sender.count(metrics.Metric.Refusals, { reason: "queue-full" });
  await sender.close();
  const text = await received;
  t.regex(text, /^geraniumkeel\.refusals:1\|c/);
  t.regex(text, /reason:queue-full/);
  t.regex(text, /host:entry-1/);
});
