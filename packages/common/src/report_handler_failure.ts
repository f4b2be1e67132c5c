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
  const { stack = String(cause) } = cause as Error;
  const code = eventCatalogue.EventCode.RequestHandlerFailed;
  logger.event(code, { request, cause: stack });
  metrics.count(metricsModule.Metric.HandlerFailures);
}
