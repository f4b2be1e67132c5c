import type * as http from "node:http";
import * as common from "@geraniumkeel/common";

/**
 * The response side of one caller's connection. It notices a caller that left,
 * and one whose connection went silent: such a caller never closes, its bytes
 * just stay unacknowledged, so writes that do not drain are its only sign.
 */
export class CallerConnection {
  readonly #abort = new AbortController();
  #stalled = false;

  constructor(
    readonly response: http.ServerResponse,
    readonly stallMilliseconds: number,
  ) {
    response.once("close", () => {
      if (!response.writableFinished) this.#abort.abort();
    });
    response.once("error", () => this.#abort.abort());
  }

  /** Aborts when the caller is gone or stalled. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether it was ended because the caller took nothing for too long. */
  get stalled(): boolean {
    return this.#stalled;
  }

  /** Writes and resolves at the caller's pace; never rejects. */
  async write(chunk: string | Uint8Array): Promise<void> {
    if (this.#abort.signal.aborted || this.response.destroyed) return;
    if (this.response.write(chunk)) return;
    const drained = new Promise<true>((resolve) => {
      this.response.once("drain", () => resolve(true));
      this.signal.addEventListener("abort", () => resolve(true), {
        once: true,
      });
    });
    const done = await common.withTimeout(drained, this.stallMilliseconds);
    if (done) return;
    this.#stalled = true;
    this.breakOff();
  }

  /**
   * Ends the connection without ending the body, so that the caller cannot take
   * part of an answer for the whole.
   */
  breakOff(): void {
    this.response.destroy();
    this.#abort.abort();
  }
}
