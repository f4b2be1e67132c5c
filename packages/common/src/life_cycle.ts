import * as events from "node:events";
import * as clock from "./clock.ts";

/** Something with an owner: closed exactly once, in reverse order of taking. */
interface Owned {
  name: string;
  close: () => Promise<void> | void;
}

/** Time an owned part may take to close before it is reported and left. */
const CLOSE_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Owner of sockets, timers and tasks. Closing runs in reverse order of taking,
 * so that whatever a part depends on outlives it.
 */
export class LifeCycle {
  readonly #owned: Owned[] = [];
  readonly #abort = new AbortController();
  #closing: Promise<string[]> | undefined;

  constructor(readonly name: string) {
    // Every task and pause listens to the one signal of its owner.
    events.EventEmitter.setMaxListeners(0, this.#abort.signal);
  }

  /** Aborts as soon as closing starts. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether closing has started. */
  get closing(): boolean {
    return this.#abort.signal.aborted;
  }

  /** Takes ownership; the returned function gives it up without closing. */
  own(owned: Owned): () => void {
    if (this.closing) void owned.close();
    this.#owned.push(owned);
    return () => {
      const index = this.#owned.indexOf(owned);
      if (index >= 0) this.#owned.splice(index, 1);
    };
  }

  /** A part with a life of its own that ends no later than this one. */
  child(name: string): LifeCycle {
    const child = new LifeCycle(`${this.name}/${name}`);
    const release = this.own({
      name: child.name,
      close: async () => {
        await child.close();
      },
    });
    child.signal.addEventListener("abort", release, { once: true });
    return child;
  }

  /**
   * Runs a task until it returns or the life-cycle closes; closing waits for
   * it. A task that throws has broken an invariant and stops the process.
   */
  run(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    const running = task(this.signal).catch((cause: unknown) => {
      queueMicrotask(() => {
        throw new Error(`task ${this.name}/${name} failed`, { cause });
      });
    });
    const release = this.own({ name, close: () => running });
    void running.finally(release);
  }

  /** Calls `action` every `milliseconds` until closing. */
  every(milliseconds: number, action: () => void): void {
    const timer = setInterval(action, milliseconds);
    this.own({ name: "timer", close: () => clearInterval(timer) });
  }

  /** Closes everything owned; returns the names of what did not close in time. */
  close(): Promise<string[]> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  async #closeAll(): Promise<string[]> {
    this.#abort.abort();
    const late: string[] = [];
    for (const owned of this.#owned.splice(0).reverse()) {
      const closed = Promise.resolve(owned.close()).then(() => true);
      const done = await clock.withTimeout(closed, CLOSE_TIMEOUT_MILLISECONDS);
      if (done === undefined) late.push(`${this.name}/${owned.name}`);
    }
    return late;
  }
}
