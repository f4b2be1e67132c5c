import * as common from "@geraniumkeel/common";

/** Time for which a dispatch waits for room before it is refused. */
const HOLD_MILLISECONDS = 100;
/** How often waiting dispatches are looked at when no attempt ends. */
const LOOK_MILLISECONDS = 25;
/** How long an empty room sleeps when nobody comes. */
const IDLE_MILLISECONDS = 60_000;

interface Waiting<T> {
  value: T;
  since: number;
}

/**
 * Dispatches that came while the runner was full, for a moment. Refused at once
 * they came again with the next report, and room that opened in between stood
 * empty for as long: with 7 entries a full runner did a quarter of its work.
 */
export class WaitingRoom<T> {
  readonly #waiting: Waiting<T>[] = [];
  readonly #entered = new common.ChangeNotice();

  constructor(
    readonly parameters: {
      /** Announced when attempts end. */
      changed: common.ChangeNotice;
      /** Whether the runner has room for a dispatch. */
      hasRoom: (value: T) => boolean;
      /** Starts a dispatch or, when there is no room, refuses it. */
      leave: (value: T) => void;
      /** Most that may wait, beside those that run. */
      mostWaiting: number;
      clock?: () => number;
    },
  ) {}

  /** Dispatches waiting. */
  get length(): number {
    return this.#waiting.length;
  }

  /** Takes a dispatch in; false if as many wait as may. */
  enter(value: T): boolean {
    if (this.#waiting.length >= this.parameters.mostWaiting) return false;
    this.#waiting.push({ value, since: this.#now() });
    this.#entered.announce();
    return true;
  }

  /** Lets all out at once, when nothing is to start any more. */
  clear(): void {
    const { leave } = this.parameters;
    for (const { value } of this.#waiting.splice(0)) leave(value);
  }

  /** Lets dispatches out, first come first, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#waiting.length === 0) {
        await this.#entered.next(IDLE_MILLISECONDS, signal);
        continue;
      }
      await this.parameters.changed.next(LOOK_MILLISECONDS, signal);
      this.#look();
    }
  }

  #look(): void {
    const { hasRoom, leave } = this.parameters;
    const oldest = this.#now() - HOLD_MILLISECONDS;
    for (;;) {
      const [first] = this.#waiting;
      if (first === undefined) return;
      if (first.since > oldest && !hasRoom(first.value)) return;
      this.#waiting.shift();
      leave(first.value);
    }
  }

  #now(): number {
    return (this.parameters.clock ?? common.now)();
  }
}
