import * as traffic from "@geraniumkeel/traffic";

/** Parts of an answer whose time tells how fast its runner works. */
export enum AnswerPart {
  /** From the request to the first event of a stream. */
  FirstEvent = "first-event",
  /** From one event of a stream to the next. */
  Event = "event",
  /** From the request to the whole answer. */
  Whole = "whole",
}

/** Time that a part of an answer took, or has taken so far. */
export interface PartTime {
  part: AnswerPart;
  from: number;
  to: number;
}

/** Events of one answer that are remembered; about two seconds of a stream. */
const MAX_REMEMBERED = 64;

/** Measures the parts of one answer while they arrive. */
export class AnswerTimer {
  #part: AnswerPart;
  /** When the current part began. */
  #from: number;
  /** When reading of the current part began. */
  #readFrom: number;
  #isRead = true;
  readonly #events: PartTime[] = [];

  constructor(
    readonly parameters: {
      route: Pick<
        traffic.Route,
        "answerForm" | "gapMilliseconds" | "objectiveMilliseconds"
      >;
      /**
       * Whether the runner had a free slot for the request. The time that a
       * request spends in a queue says nothing about the runner's speed.
       */
      hadFreeSlot: boolean;
      /** Monotonic milliseconds in which this process read answers. */
      now: () => number;
      /** Called for each part that has arrived. */
      onPart: (time: PartTime) => void;
      /**
       * Called once, when the answer has ended or was given up, with the part
       * that was waited for.
       */
      onEnd: (awaited: PartTime | undefined) => void;
    },
  ) {
    this.#from = parameters.now();
    this.#readFrom = this.#from;
    switch (parameters.route.answerForm) {
      case traffic.AnswerForm.Whole:
        this.#part = AnswerPart.Whole;
        break;
      case traffic.AnswerForm.Events:
        this.#part = AnswerPart.FirstEvent;
        break;
    }
  }

  /**
   * Notes that an event has arrived. The answer is not read until `noteRead`.
   */
  noteEvent(): void {
    const to = this.parameters.now();
    const time = { part: this.#part, from: this.#from, to };
    // If the answer was mostly not read, the event may have arrived long ago.
    const isMeasured = to - this.#readFrom >= this.#readFrom - this.#from;
    this.#part = AnswerPart.Event;
    this.#from = to;
    this.#isRead = false;
    if (!isMeasured) return;
    if (time.part === AnswerPart.Event) {
      if (this.#events.length >= MAX_REMEMBERED) this.#events.shift();
      this.#events.push(time);
    }
    this.parameters.onPart(time);
  }

  /** Notes that the answer is read again. */
  noteRead(): void {
    this.#isRead = true;
    this.#readFrom = this.parameters.now();
  }

  /** Notes that a whole answer is complete. */
  noteWhole(): void {
    const { now, onPart } = this.parameters;
    if (this.#part !== AnswerPart.Whole) return;
    this.#isRead = false;
    onPart({ part: AnswerPart.Whole, from: this.#from, to: now() });
  }

  /** Notes that nothing more of the answer is read. */
  end(): void {
    const { awaited } = this;
    this.#isRead = false;
    this.parameters.onEnd(awaited);
  }

  /** The part that is waited for; `undefined` while nothing is read. */
  get awaited(): PartTime | undefined {
    if (!this.#isRead) return undefined;
    const to = this.parameters.now();
    return { part: this.#part, from: this.#readFrom, to };
  }

  /**
   * Mean time between the events that arrived in a period; `undefined` if they
   * don't cover at least half of it.
   */
  meanEventTime(from: number, to: number): number | undefined {
    let covered = 0;
    let count = 0;
    const before = this.#events.findLastIndex((event) => event.from < from);
    for (const event of this.#events.slice(before + 1)) {
      if (event.to > to) break;
      covered += event.to - event.from;
      count++;
    }
    return count > 0 && covered >= (to - from) / 2
      ? covered / count
      : undefined;
  }
}
