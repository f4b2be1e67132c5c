import * as fs from "node:fs";

/** Bytes of lines that wait to be written before further ones are dropped. */
const LARGEST_BACKLOG_BYTES = 256 * 1024;
/** Time in which lines are gathered into one write, in milliseconds. */
const GATHER_MILLISECONDS = 200;

/**
 * Writes log lines to a file descriptor without ever waiting for its reader. A
 * reader that stands still would otherwise hold up the process; here lines are
 * dropped past a bound, counted, and told by the next line that gets through.
 */
export class LogWriter {
  #waiting: string[] = [];
  #waitingBytes = 0;
  #dropped = 0;
  #writing = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(readonly fileDescriptor: number) {}

  /** Lines dropped since the last one that got through. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Takes a line; it is written soon, or counted as dropped. */
  write(line: string): void {
    if (this.#waitingBytes + line.length > LARGEST_BACKLOG_BYTES) {
      this.#dropped++;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    this.#timer ??= setTimeout(() => this.#flush(), GATHER_MILLISECONDS);
  }

  /** Writes what waits, as far as that is possible at once. */
  flushNow(): void {
    clearTimeout(this.#timer);
    try {
      fs.writeSync(this.fileDescriptor, this.#takeAll());
    } catch {
      // The process ends and the reader is not reading: nobody is left to tell.
    }
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#writing || this.#waiting.length === 0) return;
    this.#writing = true;
    const text = this.#takeAll();
    fs.write(this.fileDescriptor, text, (cause) => {
      this.#writing = false;
      if (cause) this.#dropped += text.split("\n").length - 1;
      if (this.#waiting.length > 0) this.#flush();
    });
  }

  #takeAll(): string {
    if (this.#dropped > 0 && this.#waiting.length > 0) {
      const dropped = this.#dropped;
      this.#dropped = 0;
      this.#waiting.push(
        `${JSON.stringify({ msg: "LinesDropped", dropped })}\n`,
      );
    }
    const text = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingBytes = 0;
    return text;
  }
}
