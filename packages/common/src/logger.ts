import * as bunyan from "bunyan";
import * as eventCatalogue from "./event_catalogue.ts";
import * as unreachable from "./unreachable.ts";

/** Fields of one event; plain data only. */
export type EventFields = Record<string, unknown>;

/** Destination of numbered events. */
export interface Logger {
  event(code: eventCatalogue.EventCode, fields?: EventFields): void;
}

/** Writes events as bunyan JSON lines, to standard error if nothing is said. */
export function createLogger(parameters: {
  name: string;
  host: string;
  writer?: { write(line: string): void };
}): Logger {
  const writer = parameters.writer ?? process.stderr;
  const stream = bunyan.createLogger({
    name: parameters.name,
    host: parameters.host,
    hostname: parameters.host,
    // Bunyan only ever calls `write`.
    streams: [{ stream: writer as NodeJS.WritableStream, level: "info" }],
  });
  return {
    event(code, fields = {}) {
      const entry = eventCatalogue.EVENT_CATALOGUE[code];
      const record = { event: code, ...fields };
      const name = eventCatalogue.EventCode[code];
      switch (entry.level) {
        case eventCatalogue.EventLevel.Info:
          return stream.info(record, name);
        case eventCatalogue.EventLevel.Warn:
          return stream.warn(record, name);
        case eventCatalogue.EventLevel.Error:
          return stream.error(record, name);
        default:
          return unreachable.unreachable(entry.level);
      }
    },
  };
}

/** A logger that keeps its events, for tests and the state dump. */
export class RecordingLogger implements Logger {
  readonly events: { code: eventCatalogue.EventCode; fields: EventFields }[] =
    [];

  /** Keeps the event. */
  event(code: eventCatalogue.EventCode, fields: EventFields = {}): void {
    this.events.push({ code, fields });
  }
}
