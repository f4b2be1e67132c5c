import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as perfHooks from "node:perf_hooks";

/* global setTimeout */

const ROOT = path.resolve(import.meta.dirname, "../..");
/** Exit code of a case that could not run. */
const EXIT_NOT_RUN = 2;
/** The `run` line of both roles in the deploy file. */
const RUN = ["node", "--max-old-space-size=150", "target/launch.mjs"];

/** Resolves after a while. */
export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A port that is free at an address. */
export function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, address, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** A loopback network that other cases hardly use: its first three numbers. */
export function drawNetwork() {
  const second = 64 + Math.floor(Math.random() * 60);
  return `127.${second}.${Math.floor(Math.random() * 250)}`;
}

/** Processes of the project, by the numbers of their machines. */
export class Processes {
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  #children = [];
  #ended = false;
  /** Settings of each process. */
  settings = [];
  /** Processes that ended without having been asked to. */
  ownEnds = [];
  /** When each process was started, in order. */
  starts = [];

  constructor() {
    process.once("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.once(signal, () => process.exit(EXIT_NOT_RUN));
    }
  }

  /** Starts the process of a machine. */
  startOne(index) {
    const own = this.settings[index];
    const file = path.join(this.#folder, `${own.host}.json`);
    fs.writeFileSync(file, JSON.stringify(own, undefined, 2));
    const log = fs.openSync(path.join(this.#folder, `${own.host}.log`), "a");
    const child = childProcess.spawn(RUN[0], RUN.slice(1), {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GERANIUMKEEL_SETTINGS: file,
      },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.#children[index] = child;
    this.starts.push({ index, at: perfHooks.performance.now() });
    child.once("exit", (code, signal) => {
      if (this.#ended || child.asked) return;
      this.ownEnds.push({
        index,
        at: perfHooks.performance.now(),
        code,
        signal,
      });
      this.onOwnEnd?.(index, code, signal);
    });
  }

  /**
   * Whether a machine was in touch at a moment: its process had been started at
   * least `stableMs` before.
   */
  inTouch(index, at, stableMs) {
    const last = this.starts.findLast(
      (one) => one.index === index && one.at <= at,
    );
    return last !== undefined && at - last.at >= stableMs;
  }

  /** Sends a signal to the process of a machine. */
  signal(index, signal) {
    const child = this.#children[index];
    if (signal === "SIGKILL" || signal === "SIGTERM") child.asked = true;
    child.kill(signal);
  }

  /** Lines that a process wrote. */
  lines(index) {
    const file = path.join(this.#folder, `${this.settings[index].host}.log`);
    return fs.readFileSync(file, "utf8").trimEnd().split("\n");
  }

  /** Ends all processes and removes the folder. */
  async close() {
    this.#ended = true;
    const gone = this.#children.map(
      (child) =>
        new Promise((resolve) => {
          if (child.exitCode !== null || child.signalCode !== null) resolve();
          else child.once("exit", resolve);
          child.kill("SIGCONT");
          child.kill("SIGKILL");
        }),
    );
    await Promise.all(gone);
    fs.rmSync(this.#folder, { recursive: true });
  }

  /** Whatever ends this process, those that it started end with it. */
  #killAll() {
    this.#ended = true;
    for (const child of this.#children) child?.kill("SIGKILL");
  }
}
