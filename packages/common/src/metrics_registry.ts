import * as metricsModule from "./metrics.ts";

/** Upper bounds of a timing's buckets, in milliseconds. */
const BUCKET_BOUNDS = [
  1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];
/** Series kept at most: tags with ever new values must not fill the memory. */
const MOST_SERIES = 1_000;
const PREFIX = "geraniumkeel_";

/** A timing's observations. */
interface Histogram {
  /** Observations in each bucket; the last one is above all bounds. */
  buckets: number[];
  sum: number;
  count: number;
}

/**
 * Keeps all metrics of the process and shows them as text, in the format that
 * Prometheus reads. What it is told goes on to another destination too, so that
 * both tell the same.
 */
export class MetricsRegistry implements metricsModule.Metrics {
  readonly #values = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();

  constructor(readonly next: metricsModule.Metrics) {}

  /** Adds to a counter. */
  count(
    metric: metricsModule.Metric,
    tags: Record<string, string> = {},
    by = 1,
  ): void {
    const series = seriesOf(metric, tags);
    this.#set(series, (this.#values.get(series) ?? 0) + by);
    this.next.count(metric, tags, by);
  }

  /** Notes a duration in milliseconds. */
  time(
    metric: metricsModule.Metric,
    value: number,
    tags: Record<string, string> = {},
  ): void {
    const series = seriesOf(metric, tags);
    const histogram = this.#histograms.get(series) ?? emptyHistogram();
    if (this.#size < MOST_SERIES) this.#histograms.set(series, histogram);
    const index = BUCKET_BOUNDS.findIndex((bound) => value <= bound);
    histogram.buckets[index < 0 ? BUCKET_BOUNDS.length : index]++;
    histogram.sum += value;
    histogram.count++;
    this.next.time(metric, value, tags);
  }

  /** Sets a gauge. */
  gauge(
    metric: metricsModule.Metric,
    value: number,
    tags: Record<string, string> = {},
  ): void {
    this.#set(seriesOf(metric, tags), value);
    this.next.gauge(metric, value, tags);
  }

  /** Closes the other destination. */
  close(): Promise<void> {
    return this.next.close();
  }

  /** All metrics, one line a figure. */
  text(): string {
    const lines = [...this.#values].map(([series, value]) =>
      lineOf(series, value),
    );
    for (const [series, histogram] of this.#histograms) {
      lines.push(...histogramLines(series, histogram));
    }
    return `${lines.join("\n")}\n`;
  }

  get #size(): number {
    return this.#values.size + this.#histograms.size;
  }

  #set(series: string, value: number): void {
    if (this.#values.has(series) || this.#size < MOST_SERIES) {
      this.#values.set(series, value);
    }
  }
}

function emptyHistogram(): Histogram {
  const buckets = new Array<number>(BUCKET_BOUNDS.length + 1).fill(0);
  return { buckets, sum: 0, count: 0 };
}

/** Name and tags of a series, as `name{tag="value"}`. */
function seriesOf(
  metric: metricsModule.Metric,
  tags: Record<string, string>,
): string {
  const parts = Object.entries(tags).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return `${PREFIX}${metric}{${parts.join(",")}}`;
}

function lineOf(series: string, value: number): string {
  return `${series.replace("{}", "")} ${value}`;
}

function histogramLines(series: string, histogram: Histogram): string[] {
  const brace = series.indexOf("{");
  const name = series.slice(0, brace);
  const tags = series.slice(brace + 1, -1);
  const separator = tags ? "," : "";
  let below = 0;
  const lines = histogram.buckets.map((count, index) => {
    below += count;
    const bound = BUCKET_BOUNDS[index]?.toString() ?? "+Inf";
    return `${name}_bucket{${tags}${separator}le="${bound}"} ${below}`;
  });
  lines.push(lineOf(`${name}_sum{${tags}}`, histogram.sum));
  lines.push(lineOf(`${name}_count{${tags}}`, histogram.count));
  return lines;
}
