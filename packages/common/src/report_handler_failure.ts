import * as describeCause from "./describe_cause.ts";
import * as eventCatalogue from "./event_catalogue.ts";
import type * as loggerModule from "./logger.ts";
import * as metricsModule from "./metrics.ts";

/** Logs and counts an exception that ends the handling of one request. */
export function reportHandlerFailure(
  {
    logger,
    metrics,
  }: { logger: loggerModule.Logger; metrics: metricsModule.Metrics },
  request: string,
  cause: unknown,
): void {
  const code = eventCatalogue.EventCode.RequestHandlerFailed;
  const described = describeCause.describeCause(cause);
  logger.event(code, { request, cause: described });
  metrics.count(metricsModule.Metric.HandlerFailures);
}
