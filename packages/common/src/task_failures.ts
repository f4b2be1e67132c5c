import * as describeCause from "./describe_cause.ts";
import * as eventCatalogue from "./event_catalogue.ts";
import type * as lifeCycle from "./life_cycle.ts";
import type * as loggerModule from "./logger.ts";
import * as metricsModule from "./metrics.ts";

/** Lines on failed tasks in a second; a timer may fail many times in it. */
const MOST_LINES_PER_SECOND = 5;
const SECOND_MILLISECONDS = 1_000;

/** Logs and counts failures of tasks and timers; of many, some are logged. */
export function reportTaskFailures({
  logger,
  metrics,
}: {
  logger: loggerModule.Logger;
  metrics: metricsModule.Metrics;
}): lifeCycle.TaskFailureListener {
  let second = 0;
  let lines = 0;
  return (task, cause) => {
    metrics.count(metricsModule.Metric.TaskFailures);
    const current = Math.floor(performance.now() / SECOND_MILLISECONDS);
    if (current !== second) lines = 0;
    second = current;
    if (++lines > MOST_LINES_PER_SECOND) return;
    const code = eventCatalogue.EventCode.TaskFailed;
    const described = describeCause.describeCause(cause);
    logger.event(code, { task, cause: described });
  };
}
