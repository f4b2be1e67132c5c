/** Ends one event of a stream. */
const EVENT_END = Buffer.from("\n\n");
/** Field that numbers an event. */
const IDENTIFIER_FIELD = "id:";

/** One whole event of a stream. */
export interface StreamEvent {
  /** Its number; `undefined` if it has none. */
  number: number | undefined;
  /** Its bytes, with the blank line that ends it. */
  bytes: Buffer;
}

/**
 * Cuts a stream into whole events. A runner may stop in the middle of one; what
 * is passed on ends with an event, so that another run can go on after it.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get unfinished(): number {
    return this.#rest.length;
  }

  /** Takes bytes and gives the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    let rest =
      this.#rest.length > 0 ? Buffer.concat([this.#rest, bytes]) : bytes;
    const events: StreamEvent[] = [];
    for (;;) {
      const end = rest.indexOf(EVENT_END);
      if (end < 0) break;
      const length = end + EVENT_END.length;
      const event = rest.subarray(0, length);
      events.push({ number: numberOf(event), bytes: event });
      rest = rest.subarray(length);
    }
    this.#rest = rest;
    return events;
  }
}

function numberOf(event: Buffer): number | undefined {
  for (const line of event.toString("latin1").split("\n")) {
    if (!line.startsWith(IDENTIFIER_FIELD)) continue;
    const number = Number(line.slice(IDENTIFIER_FIELD.length).trim());
    return Number.isInteger(number) ? number : undefined;
  }
  return undefined;
}
