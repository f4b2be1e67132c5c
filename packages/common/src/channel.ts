/**
 * Queue between a task that produces and one that consumes. Bounds are the
 * producer's duty (credit windows), so `push` never waits.
 */
export class Channel<T> {
  #items: T[] = [];
  #closed = false;
  #wake: (() => void) | undefined;

  /** Adds an item; ignored after `close`. */
  push(item: T): void {
    if (this.#closed) return;
    this.#items.push(item);
    this.#notify();
  }

  /** Ends the queue; items already in it are still received. */
  close(): void {
    this.#closed = true;
    this.#notify();
  }

  /** Number of items waiting. */
  get size(): number {
    return this.#items.length;
  }

  /** Next item, or `undefined` once closed and empty. */
  async receive(): Promise<T | undefined> {
    while (this.#items.length === 0) {
      if (this.#closed) return undefined;
      await new Promise<void>((resolve) => (this.#wake = resolve));
    }
    return this.#items.shift();
  }

  /** Removes and returns all items that are there. */
  takeAll(): T[] {
    return this.#items.splice(0);
  }

  /** Receives until closed and empty. */
  async *[Symbol.asyncIterator](): AsyncGenerator<T, void, void> {
    for (;;) {
      const item = await this.receive();
      if (item === undefined) return;
      yield item;
    }
  }

  #notify(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}
