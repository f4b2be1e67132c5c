import * as fs from "node:fs";
import * as path from "node:path";
import * as perfHooks from "node:perf_hooks";

/** Writes `record.txt` in the folder of a case, one line for each event. */
export class Record {
  #lines = [];
  #startedAt = perfHooks.performance.now();

  constructor(folder) {
    this.file = path.join(folder, "record.txt");
  }

  /** Notes an event. */
  note = (event) => {
    const at = (
      (perfHooks.performance.now() - this.#startedAt) /
      1_000
    ).toFixed(3);
    const words = Object.entries(event).map(([key, value]) =>
      key === "what" ? String(value).padEnd(6) : `${key}=${value}`,
    );
    this.#lines.push(`${at.padStart(8)} ${words.join(" ")}`);
  };

  /** Notes a result, and prints it. */
  tell(text) {
    this.note({ what: "result", text });
    process.stdout.write(`${text}\n`);
  }

  /** Writes the file. */
  write() {
    fs.writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
  }
}
