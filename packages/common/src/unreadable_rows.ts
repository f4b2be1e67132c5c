import * as eventCatalogue from "./event_catalogue.ts";
import type * as loggerModule from "./logger.ts";
import * as metricsModule from "./metrics.ts";
import * as validation from "./validation.ts";

/** Rows of a table whose texts are remembered; past that, the oldest are not. */
const MAX_REMEMBERED_ROWS = 1_000;

/** What telling of unreadable rows needs. */
export interface UnreadableRowsParameters {
  /** Name of the table, for the counter. */
  table: string;
  metrics: metricsModule.Metrics;
  /** Logs a row. */
  log: (key: string, reason: string) => void;
}

/**
 * Rows of one table that can't be read. Each costs itself alone: it is logged and
 * counted once for each text that it has, and readers go on with the others.
 */
export class UnreadableRows {
  readonly #texts = new Map<string, string>();

  constructor(readonly parameters: UnreadableRowsParameters) {}

  /** Those of a table whose rows are logged by key. */
  static ofTable(
    table: string,
    logger: loggerModule.Logger,
    metrics: metricsModule.Metrics,
  ): UnreadableRows {
    const code = eventCatalogue.EventCode.RowUnreadable;
    return new UnreadableRows({
      table,
      metrics,
      log: (row, reason) => logger.event(code, { row, reason }),
    });
  }

  /** Notes a row that can't be read. */
  note(key: string, text: string, problems: validation.InputProblem[]): void {
    if (this.#texts.get(key) === text) return;
    this.#texts.delete(key);
    this.#texts.set(key, text);
    const [oldest] = this.#texts.keys();
    if (this.#texts.size > MAX_REMEMBERED_ROWS) this.#texts.delete(oldest);
    const { table, metrics, log } = this.parameters;
    metrics.count(metricsModule.Metric.UnreadableRows, { table });
    log(key, validation.describeProblems(problems));
  }

  /** Forgets the rows whose keys are no longer in use. */
  retain(isInUse: (key: string) => boolean): void {
    for (const key of this.#texts.keys()) {
      if (!isInUse(key)) this.#texts.delete(key);
    }
  }

  /** Forgets a row that can be read, or is gone. */
  forget(key: string): void {
    this.#texts.delete(key);
  }
}
