/** Ends one event of a stream. */
const EVENT_END = Buffer.from("\n\n");
/** Field that numbers an event. */
const ID_FIELD = "id:";

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
  #incomplete: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.#incomplete.length;
  }

  /** Takes bytes and gives the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    let rest =
      this.#incomplete.length > 0
        ? Buffer.concat([this.#incomplete, bytes])
        : bytes;
    const events: StreamEvent[] = [];
    for (;;) {
      const end = rest.indexOf(EVENT_END);
      if (end < 0) break;
      const length = end + EVENT_END.length;
      const event = rest.subarray(0, length);
      events.push({ number: numberOf(event), bytes: event });
      rest = rest.subarray(length);
    }
    this.#incomplete = rest;
    return events;
  }
}

function numberOf(event: Buffer): number | undefined {
  for (const line of event.toString("latin1").split("\n")) {
    if (!line.startsWith(ID_FIELD)) continue;
    const number = Number(line.slice(ID_FIELD.length).trim());
    return Number.isInteger(number) ? number : undefined;
  }
  return undefined;
}
