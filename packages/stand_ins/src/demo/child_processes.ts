import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";

/** A started program and what it told of itself. */
export interface Child {
  name: string;
  process: childProcess.ChildProcess;
  /** Base URLs by listener name, or by number. */
  urls: Record<string, string>;
}

const ROOT = url.fileURLToPath(new URL("../../../..", import.meta.url));
const STARTED_EVENT = 1001;

/**
 * The programs of a demo. Only the demo starts processes; the product never
 * does.
 */
export class ChildProcesses {
  readonly children: Child[] = [];
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "geraniumkeel-"));

  /** Starts a stand-in. */
  async standIn(name: string, ...options: string[]): Promise<Child> {
    const script = path.join(ROOT, "packages/stand_ins/dist/main.js");
    const child = this.#spawn(name, [script, ...options]);
    const line = await firstLine(child.process.stdout, () => true);
    const { urls } = JSON.parse(line) as { urls: string[] };
    child.urls = Object.fromEntries(urls.entries());
    return child;
  }

  /** Starts a daemon with the given settings. */
  async daemon(
    settings: { host: string } & Record<string, unknown>,
  ): Promise<Child> {
    const file = path.join(this.#folder, `${settings.host}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const script = path.join(ROOT, "packages/daemon/bin/geraniumkeeld.mjs");
    const child = this.#spawn(settings.host, [script, "--settings", file]);
    const line = await firstLine(child.process.stderr, (text) =>
      text.includes(`"event":${STARTED_EVENT}`),
    );
    child.urls = (JSON.parse(line) as { urls: Record<string, string> }).urls;
    return child;
  }

  /** Runs the command-line tool and returns what it printed. */
  tool(parameters: {
    url: string;
    key: string;
    words: string[];
  }): Promise<{ code: number; output: string }> {
    const script = path.join(ROOT, "packages/cli/bin/geraniumkeel.mjs");
    const words = ["--url", parameters.url, ...parameters.words];
    const started = childProcess.spawn(process.execPath, [script, ...words], {
      env: { ...process.env, GERANIUMKEEL_KEY: parameters.key },
    });
    let output = "";
    started.stdout.on("data", (data) => (output += String(data)));
    started.stderr.on("data", (data) => (output += String(data)));
    return new Promise((resolve) =>
      started.on("close", (code) => resolve({ code: code ?? -1, output })),
    );
  }

  /** Sends a signal to one child and waits for its end. */
  stop(child: Child, signal: NodeJS.Signals): Promise<number | null> {
    return new Promise((resolve) => {
      if (child.process.exitCode !== null)
        return resolve(child.process.exitCode);
      child.process.once("exit", (code) => resolve(code));
      child.process.kill(signal);
    });
  }

  /** Ends all children and removes their settings. */
  async close(): Promise<void> {
    const ends = this.children.map((child) => this.stop(child, "SIGKILL"));
    await Promise.all(ends);
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn(name: string, words: string[]): Child {
    const started = childProcess.spawn(process.execPath, words, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = { name, process: started, urls: {} };
    this.children.push(child);
    return child;
  }
}

/** First line that matches; further lines are read and dropped. */
function firstLine(
  stream: NodeJS.ReadableStream | null,
  matches: (line: string) => boolean,
): Promise<string> {
  if (!stream) return Promise.reject(new Error("no output"));
  const lines = readline.createInterface({ input: stream });
  return new Promise((resolve, reject) => {
    lines.on("line", (line) => {
      if (matches(line)) resolve(line);
    });
    lines.on("close", () => reject(new Error("ended before it had started")));
  });
}
