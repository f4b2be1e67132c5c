/**
 * Blank line that terminates each server-sent event. Only line ends of the form
 * `\n` are recognized.
 */
const EVENT_END = Buffer.from("\n\n");
const LINE_END = EVENT_END[0];
/** Longest event that is held until it is complete. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;
/** Pieces in which an event may arrive. */
const MAX_EVENT_PIECES = 4_096;
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
  /** Pieces of the event that is still incomplete. */
  #pieces: Buffer[] = [];
  #pendingBytes = 0;

  /** Number of bytes received of an event that is still incomplete. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Whether the incomplete event is longer, or in more pieces, than any may be. */
  get isOverLong(): boolean {
    return (
      this.#pendingBytes > MAX_EVENT_BYTES ||
      this.#pieces.length > MAX_EVENT_PIECES
    );
  }

  /** Drops what was received of an event that is still incomplete. */
  drop(): void {
    this.#pieces = [];
    this.#pendingBytes = 0;
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    let rest = bytes;
    const events: StreamEvent[] = [];
    for (;;) {
      const length = this.#lengthToEnd(rest);
      if (length === undefined) break;
      events.push(this.#complete(rest.subarray(0, length)));
      rest = rest.subarray(length);
    }
    if (rest.length > 0) {
      this.#pieces.push(rest);
      this.#pendingBytes += rest.length;
    }
    return events;
  }

  /** Bytes up to the end of the event; `undefined` if it does not end in them. */
  #lengthToEnd(bytes: Buffer): number | undefined {
    const isAfterLineEnd = this.#pieces.at(-1)?.at(-1) === LINE_END;
    if (isAfterLineEnd && bytes[0] === LINE_END) return 1;
    const end = bytes.indexOf(EVENT_END);
    return end < 0 ? undefined : end + EVENT_END.length;
  }

  #complete(last: Buffer): StreamEvent {
    const bytes =
      this.#pieces.length > 0 ? Buffer.concat([...this.#pieces, last]) : last;
    this.drop();
    return { number: numberOf(bytes), bytes };
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
