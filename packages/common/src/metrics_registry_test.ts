import * as ava from "ava";
import * as metrics from "./metrics.ts";
import * as metricsRegistry from "./metrics_registry.ts";

const test = ava.default;

test("counters, gauges and histograms are shown as text", (t) => {
  const next = metrics.discardMetrics();
  const registry = new metricsRegistry.MetricsRegistry(next);
  registry.count(metrics.Metric.Requests, { outcome: "answered" });
  registry.count(metrics.Metric.Requests, { outcome: "answered" }, 2);
  registry.gauge(metrics.Metric.LinksOpen, 4);
  registry.time(metrics.Metric.FirstToken, 150);
  registry.time(metrics.Metric.FirstToken, 99_999);
  const lines = registry.text().split("\n");
  t.true(lines.includes('geraniumkeel_requests{outcome="answered"} 3'));
  t.true(lines.includes("geraniumkeel_links_open 4"));
  t.true(lines.includes('geraniumkeel_first_token_bucket{le="200"} 1'));
  t.true(lines.includes('geraniumkeel_first_token_bucket{le="+Inf"} 2'));
  t.true(lines.includes("geraniumkeel_first_token_count 2"));
});

test("tags with ever new values do not fill the memory", (t) => {
  const next = metrics.discardMetrics();
  const registry = new metricsRegistry.MetricsRegistry(next);
  for (let index = 0; index < 5_000; index++) {
    registry.count(metrics.Metric.Requests, { service: String(index) });
  }
  t.true(registry.text().split("\n").length <= 1_001);
});
