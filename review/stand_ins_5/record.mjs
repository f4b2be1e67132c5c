/* global performance, setTimeout */
import * as fs from "node:fs";

/** Pause between two looks at a condition, in milliseconds. */
const CHECK_MILLISECONDS = 20;

/** Waits. */
export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Resolves once a condition holds; throws if it does not in time. */
export async function until(condition, milliseconds = 20_000) {
  const deadline = performance.now() + milliseconds;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error("not met in time");
    await sleep(CHECK_MILLISECONDS);
  }
}

/** What was sent, answered and run, with the milliseconds since the start. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  /** Milliseconds since the start. */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Adds a line; returns its time. */
  note(what, fields = {}) {
    const at = this.now;
    const told = Object.entries(fields).map(
      ([name, value]) => `${name}=${value}`,
    );
    const time = `${String(at).padStart(6)} ms`;
    this.#lines.push([time, what, ...told].join("  "));
    return at;
  }

  /** Writes all lines to a file. */
  write(file) {
    fs.writeFileSync(file, `${this.#lines.join("\n")}\n`);
  }
}
