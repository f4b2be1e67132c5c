import * as clock from "./clock.ts";

/** Wakes tasks that wait for a condition whenever state behind it changed. */
export class ChangeNotice {
  #waiting = new Set<() => void>();

  /** Tells all waiting tasks to look again. */
  announce(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const wake of waiting) wake();
  }

  /** Resolves at the next change, the timeout or the signal. */
  next(timeoutMilliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMilliseconds);
      signal?.addEventListener("abort", wake, { once: true });
      this.#waiting.add(wake);
    });
  }

  /** Resolves to whether `condition` became true within the timeout. */
  async until(parameters: {
    condition: () => boolean;
    timeoutMilliseconds: number;
    signal?: AbortSignal;
  }): Promise<boolean> {
    const deadline = clock.now() + parameters.timeoutMilliseconds;
    while (!parameters.condition()) {
      const remaining = deadline - clock.now();
      if (remaining <= 0 || parameters.signal?.aborted) return false;
      await this.next(remaining, parameters.signal);
    }
    return true;
  }
}
