import * as answerDeliveries from "./answer_deliveries.ts";
import * as answerLimits from "./answer_limits.ts";

/** Bytes of all answers that a process collects at the same time. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;

/**
 * Answers that are held until they are complete. If all together become too many
 * bytes, the longest one is given up: bytes without end then cost the requests
 * whose runners send them, and not those that hold little.
 */
export class AnswerBuffers {
  readonly #open = new Set<AnswerBuffer>();
  /** Answers that are complete and on their way to their callers. */
  readonly deliveries = new answerDeliveries.AnswerDeliveries();

  /** Opens the buffer of an answer; `release` must be called on it. */
  open(): AnswerBuffer {
    const buffer = new AnswerBuffer({
      onGrowth: () => this.#bound(),
      onRelease: () => this.#open.delete(buffer),
    });
    this.#open.add(buffer);
    return buffer;
  }

  #bound(): void {
    let total = 0;
    let longest: AnswerBuffer | undefined;
    for (const buffer of this.#open) {
      total += buffer.bytes;
      if (buffer.bytes > (longest?.bytes ?? -1)) longest = buffer;
    }
    if (total > MAX_TOTAL_BYTES) longest?.giveUp();
  }
}

/** One answer that is held until it is complete. */
export class AnswerBuffer {
  #pieces: Buffer[] = [];
  #bytes = 0;
  #problem: string | undefined;
  readonly #dropped = new AbortController();

  constructor(
    readonly parameters: { onGrowth: () => void; onRelease: () => void },
  ) {}

  /** Bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Why the answer is given up; `undefined` if it is not. */
  get problem(): string | undefined {
    return this.#problem;
  }

  /** Aborts when the answer is given up. */
  get dropped(): AbortSignal {
    return this.#dropped.signal;
  }

  /** Adds a piece. */
  push(piece: Buffer): void {
    if (this.#problem !== undefined) return;
    this.#pieces.push(piece);
    this.#bytes += piece.length;
    if (this.#bytes > answerLimits.MAX_HELD_BYTES) {
      this.#drop(`answer over ${answerLimits.MAX_HELD_BYTES} bytes`);
      return;
    }
    this.parameters.onGrowth();
  }

  /** Gives the answer up for others. */
  giveUp(): void {
    this.#drop("answers over the memory for them");
  }

  /** All pieces in one. */
  join(): Buffer {
    return Buffer.concat(this.#pieces);
  }

  /** Frees what is held. */
  release(): void {
    this.#pieces = [];
    this.#bytes = 0;
    this.parameters.onRelease();
  }

  #drop(problem: string): void {
    this.#problem = problem;
    this.#pieces = [];
    this.#bytes = 0;
    this.#dropped.abort();
  }
}
