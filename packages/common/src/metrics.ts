import * as hotShots from "hot-shots";

/** Names of all metrics; docs/metrics.md is made from the catalogue below. */
export enum Metric {
  Requests = "requests",
  Refusals = "refusals",
  Retries = "retries",
  Quarantined = "quarantined",
  RateLimitDecisions = "rate_limit_decisions",
  RunnerRests = "runner_rests",
  RunnerConnections = "runner_connections",
  AdmissionDecisions = "admission_decisions",
  AdmissionCapacity = "admission_capacity",
  AdmissionWaiting = "admission_waiting",
  CallerConnectionsEnded = "caller_connections_ended",
  CallerConnectionsOpen = "caller_connections_open",
  CallerHeldBytes = "caller_held_bytes",
  WrongAnswers = "wrong_answers",
  HandlerFailures = "handler_failures",
  TaskFailures = "task_failures",
  UnreadableRows = "unreadable_rows",
  FirstToken = "first_token",
  BetweenTokens = "between_tokens",
  QueueWait = "queue_wait",
  Outstanding = "outstanding",
  LinksOpen = "links_open",
  LinksSilent = "links_silent",
  StaleFrames = "stale_frames",
  ConfigurationRevision = "configuration_revision",
  StepSkew = "step_skew",
  EvacuatedDataCentres = "evacuated_data_centres",
}

/** Shape of a metric. */
export enum MetricKind {
  Counter = "counter",
  Timing = "timing",
  Gauge = "gauge",
}

/** What docs/metrics.md says of a metric. */
export interface MetricEntry {
  kind: MetricKind;
  unit: string;
  tags: string[];
  meaning: string;
}

const counter = (meaning: string, ...tags: string[]): MetricEntry => ({
  kind: MetricKind.Counter,
  unit: "1",
  tags,
  meaning,
});
const timing = (meaning: string, ...tags: string[]): MetricEntry => ({
  kind: MetricKind.Timing,
  unit: "ms",
  tags,
  meaning,
});
const gauge = (
  unit: string,
  meaning: string,
  ...tags: string[]
): MetricEntry => ({ kind: MetricKind.Gauge, unit, tags, meaning });

/** One entry per metric. */
export const METRIC_CATALOGUE: Record<Metric, MetricEntry> = {
  [Metric.Requests]: counter("Requests answered.", "service", "outcome"),
  [Metric.Refusals]: counter("Requests refused before running.", "reason"),
  [Metric.Retries]: counter("Attempts after the first.", "service"),
  [Metric.Quarantined]: counter(
    "Requests and parts of prompts put in quarantine, each once.",
    "service",
  ),
  [Metric.RateLimitDecisions]: counter(
    "Requests for runners with a request rate limit: granted, waited, denied.",
    "service",
    "outcome",
  ),
  [Metric.RunnerRests]: counter(
    "Rests that runners asked this entry for.",
    "service",
  ),
  [Metric.RunnerConnections]: counter(
    "Connections opened to runners and their engines, by what for: request, presence, watch, report, activations, lists, order.",
    "reason",
    "origin",
  ),
  [Metric.AdmissionDecisions]: counter(
    "Requests for services that routes of several urgencies share: start, refuse, left.",
    "service",
    "urgency",
    "outcome",
  ),
  [Metric.AdmissionCapacity]: gauge(
    "1",
    "Slots of the runners that may receive requests.",
    "service",
  ),
  [Metric.AdmissionWaiting]: gauge(
    "1",
    "Requests that wait for capacity at this entry.",
    "service",
    "urgency",
  ),
  [Metric.CallerConnectionsEnded]: counter(
    "Connections of callers that ended, by why.",
    "end",
  ),
  [Metric.CallerConnectionsOpen]: gauge("1", "Open connections of callers."),
  [Metric.CallerHeldBytes]: gauge(
    "bytes",
    "Memory that callers make the process hold: heads, bodies, answers, deliveries.",
    "kind",
  ),
  [Metric.WrongAnswers]: counter(
    "Answers of other programs that can't be used, by what is wrong with them.",
    "kind",
    "from",
  ),
  [Metric.HandlerFailures]: counter(
    "Requests whose handling failed with an exception.",
  ),
  [Metric.TaskFailures]: counter(
    "Tasks and timers of the process that failed with an exception.",
  ),
  [Metric.UnreadableRows]: counter(
    "Rows of the table service that can't be read, each text of a row once.",
    "table",
  ),
  [Metric.FirstToken]: timing("From arrival to first token.", "service"),
  [Metric.BetweenTokens]: timing("Between tokens of one answer.", "service"),
  [Metric.QueueWait]: timing("Time queued before dispatch.", "service"),
  [Metric.Outstanding]: gauge("1", "Attempts not settled.", "runner"),
  [Metric.LinksOpen]: gauge("1", "Open links to other processes."),
  [Metric.LinksSilent]: counter("Links replaced after silence."),
  [Metric.StaleFrames]: counter("Frames of old attempts dropped."),
  [Metric.ConfigurationRevision]: gauge("1", "Revision in force."),
  [Metric.StepSkew]: gauge("1", "Slowest over mean rank time.", "group"),
  [Metric.EvacuatedDataCentres]: gauge(
    "1",
    "Data centres whose evacuation is in force at this entry.",
  ),
};

/** Destination of metrics. */
export interface Metrics {
  count(metric: Metric, tags?: Record<string, string>, by?: number): void;
  time(metric: Metric, value: number, tags?: Record<string, string>): void;
  gauge(metric: Metric, value: number, tags?: Record<string, string>): void;
  close(): Promise<void>;
}

/** Sends metrics to a StatsD collector by UDP. */
export function createMetrics(parameters: {
  address: string;
  port: number;
  host: string;
}): Metrics {
  const client = new hotShots.StatsD({
    host: parameters.address,
    port: parameters.port,
    prefix: "geraniumkeel.",
    globalTags: { host: parameters.host },
    maxBufferSize: 1_400,
    errorHandler: () => {},
  });
  return {
    count: (metric, tags = {}, by = 1) => client.increment(metric, by, tags),
    time: (metric, value, tags = {}) => client.timing(metric, value, tags),
    gauge: (metric, value, tags = {}) => client.gauge(metric, value, tags),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}

/** Metrics without a collector. */
export function discardMetrics(): Metrics {
  return {
    count: () => {},
    time: () => {},
    gauge: () => {},
    close: () => Promise.resolve(),
  };
}
