import * as tinyQueue from "tinyqueue";

interface Event {
  at: number;
  run: () => void;
}

/** Time that passes from event to event, as fast as they can be computed. */
export class VirtualTime {
  #now = 0;
  readonly #events = new tinyQueue.default<Event>(
    [],
    (left, right) => left.at - right.at,
  );

  /** The time in milliseconds, for what takes a clock. */
  readonly clock = (): number => this.#now;

  /** Has something happen at a time. */
  schedule(at: number, run: () => void): void {
    this.#events.push({ at, run });
  }

  /** Runs events in order of time until a time, or until none is left. */
  async run(untilMilliseconds = Infinity): Promise<void> {
    for (;;) {
      const event = this.#events.pop();
      if (!event || event.at > untilMilliseconds) return;
      this.#now = event.at;
      event.run();
      // Outcomes of a queue are promises; let them settle at this time.
      await Promise.resolve();
      await Promise.resolve();
    }
  }
}
