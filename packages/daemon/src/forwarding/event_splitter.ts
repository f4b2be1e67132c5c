/**
 * Blank line that terminates each server-sent event. Only line ends of the form
 * `\n` are recognized.
 */
const EVENT_END = Buffer.from("\n\n");
/** Field of an event that carries its number. */
const ID_FIELD = "id:";

/** One complete event of a stream of server-sent events. */
export interface StreamEvent {
  /**
   * Number in the event's `id` field, 0 if the field is empty; `undefined` if
   * there is no such field or its value is not an integer.
   */
  number: number | undefined;
  /** Bytes of the event, including the blank line that terminates it. */
  bytes: Buffer;
}

/**
 * Splits a stream into complete server-sent events. A runner may stop in the
 * middle of an event. Only complete events are relayed, so that another attempt
 * can continue after the last of them.
 */
export class EventSplitter {
  #incomplete: Buffer = Buffer.alloc(0);

  /** Number of bytes received of an event that is still incomplete. */
  get pendingBytes(): number {
    return this.#incomplete.length;
  }

  /** Adds bytes and returns the events that they complete. */
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
