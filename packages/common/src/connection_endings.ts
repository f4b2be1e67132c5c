import type * as net from "node:net";

/** Codes of errors by which a connection that its other end reset is known. */
const RESET_CODES = new Set(["ECONNRESET", "EPIPE"]);

/**
 * Counts the connections of a client that their other ends reset. undici takes a
 * body without a length for complete when its connection is reset, and does not
 * tell on which connection a body came.
 */
export class ConnectionEndings {
  #resets = 0;
  readonly #pending = new Set<Promise<void>>();

  /** Number of connections that were reset. */
  get resets(): number {
    return this.#resets;
  }

  /**
   * Whether any connection was reset after the first `before` ones, once it is
   * known how those ended that have ended.
   */
  async anyResetSince(before: number): Promise<boolean> {
    await Promise.all(this.#pending);
    return this.#resets > before;
  }

  /** Watches a connection to its end. */
  watch(socket: net.Socket): void {
    let isReset = false;
    const noteError = (cause: Error | null | undefined) => {
      const { code = "" } = (cause ?? {}) as NodeJS.ErrnoException;
      if (isReset || !RESET_CODES.has(code)) return;
      isReset = true;
      this.#resets++;
    };
    socket.on("error", noteError);
    // Where the last bytes and a reset arrive together, the end is reported and
    // the reset is not. Writing to a connection that was reset fails at once; an
    // empty line is what servers skip between requests.
    socket.prependOnceListener("end", () => {
      const written = new Promise<void>((resolve) => {
        socket.once("close", () => resolve());
        socket.write("\r\n", (cause) => {
          noteError(cause);
          resolve();
        });
      });
      this.#pending.add(written);
      void written.then(() => this.#pending.delete(written));
    });
  }
}
