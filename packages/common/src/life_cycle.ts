import * as events from "node:events";
import * as clock from "./clock.ts";

/** Something with an owner: closed exactly once, in reverse order of taking. */
interface Owned {
  name: string;
  close: () => Promise<void> | void;
}

/**
 * Takes the exception of a task or timer that belongs to no request. A failure
 * there costs what the task was doing, and not all that the process serves.
 */
export type TaskFailureListener = (task: string, cause: unknown) => void;

/** Pause before a task that has to go on is started again after it failed. */
const RESTART_PAUSE_MILLISECONDS = 500;
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

  /** Without a listener a failure ends the process, as tests need it. */
  constructor(
    readonly name: string,
    readonly onTaskFailure: TaskFailureListener = throwOutside,
  ) {
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
    const child = new LifeCycle(`${this.name}/${name}`, this.onTaskFailure);
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
   * Runs a task once, until it returns, fails, or the life-cycle closes; closing
   * waits for it. For tasks with an end of their own, as that of a connection.
   */
  run(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    const running = this.#attempt(name, task);
    const release = this.own({ name, close: async () => void (await running) });
    void running.finally(release);
  }

  /**
   * Runs a task until it returns or the life-cycle closes; closing waits for it.
   * A task that fails is started again after a pause: it follows something that
   * the process cannot do without, and nothing else would begin it anew.
   */
  keepRunning(
    name: string,
    task: (signal: AbortSignal) => Promise<void>,
  ): void {
    this.run(name, async (signal) => {
      while (!(await this.#attempt(name, task)) && !signal.aborted) {
        await clock.sleep(RESTART_PAUSE_MILLISECONDS, signal);
      }
    });
  }

  /** Calls `action` every `milliseconds` until closing. */
  every(milliseconds: number, action: () => void): void {
    const attempt = () => {
      try {
        action();
      } catch (cause) {
        this.#fail("timer", cause);
      }
    };
    const timer = setInterval(attempt, milliseconds);
    this.own({ name: "timer", close: () => clearInterval(timer) });
  }

  /** Runs a task; resolves to whether it returned, and did not fail. */
  async #attempt(
    name: string,
    task: (signal: AbortSignal) => Promise<void>,
  ): Promise<boolean> {
    try {
      await task(this.signal);
      return true;
    } catch (cause) {
      this.#fail(name, cause);
      return false;
    }
  }

  #fail(task: string, cause: unknown): void {
    this.onTaskFailure(`${this.name}/${task}`, cause);
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

function throwOutside(task: string, cause: unknown): void {
  queueMicrotask(() => {
    throw new Error(`task ${task} failed`, { cause });
  });
}
