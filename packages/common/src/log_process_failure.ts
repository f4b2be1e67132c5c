import * as describeCause from "./describe_cause.ts";
import * as eventCatalogue from "./event_catalogue.ts";
import type * as loggerModule from "./logger.ts";

const EXIT_FAILED = 1;

/**
 * Logs an exception that nothing handles before it ends the process. The
 * runtime itself writes it to standard error only, where no log line names it.
 */
export function logProcessFailure(logger: loggerModule.Logger): void {
  process.on("uncaughtException", (failure) => {
    const cause = describeCause.describeCause(failure);
    logger.event(eventCatalogue.EventCode.ProcessFailed, { cause });
    process.exit(EXIT_FAILED);
  });
}
