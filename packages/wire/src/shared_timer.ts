/** Called once a period with the number of the tick, the same for all. */
export type TickListener = (tickNumber: number) => void;

/**
 * One timer for all who want the same period. A process has over a hundred
 * links; a timer each woke it hundreds of times a second for nothing, and a
 * wake-up costs more than what is then done. It runs while anybody listens.
 */
export class SharedTimer {
  readonly #listeners = new Set<TickListener>();
  #tickNumber = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(readonly periodMilliseconds: number) {}

  /** Calls `listener` once a period until the returned function is called. */
  listen(listener: TickListener): () => void {
    this.#listeners.add(listener);
    this.#timer ??= setInterval(() => this.#tick(), this.periodMilliseconds);
    return () => this.#leave(listener);
  }

  #tick(): void {
    this.#tickNumber++;
    for (const listener of this.#listeners) listener(this.#tickNumber);
  }

  #leave(listener: TickListener): void {
    this.#listeners.delete(listener);
    if (this.#listeners.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}

const timers = new Map<number, SharedTimer>();

/** The process's timer of a period. */
export function sharedTimer(periodMilliseconds: number): SharedTimer {
  const known = timers.get(periodMilliseconds);
  if (known) return known;
  const created = new SharedTimer(periodMilliseconds);
  timers.set(periodMilliseconds, created);
  return created;
}
