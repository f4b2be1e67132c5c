import * as metricsModule from "./metrics.ts";

/** Why a connection to a runner or its engine is opened. */
export enum RunnerConnectionReason {
  /** To send a caller's request, or to send it once more. */
  Request = "request",
  /** To find out whether anything listens at the runner's address. */
  Presence = "presence",
  /** To read the state of the engine again and again. */
  Watch = "watch",
  /** To read the state of the engine once. */
  Report = "report",
  /** To read how often the rank activated each expert. */
  Activations = "activations",
  /** To read which experts the rank holds. */
  Lists = "lists",
  /** To give an order to the engine. */
  Order = "order",
}

/** Which host the connection is opened from. */
export enum RunnerConnectionOrigin {
  /** The host of the runner itself. */
  Own = "own",
  Other = "other",
}

/** Returns a function that counts each connection to a runner. */
export function countRunnerConnections(
  metrics: metricsModule.Metrics,
  origin: RunnerConnectionOrigin,
): (reason: RunnerConnectionReason) => void {
  const metric = metricsModule.Metric.RunnerConnections;
  return (reason) => metrics.count(metric, { reason, origin });
}
