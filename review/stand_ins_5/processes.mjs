import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

const ROOT = path.resolve(import.meta.dirname, "../..");

/** Processes of the project, started with the commands of the deploy file. */
export class Processes {
  #running = new Map();
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  #commands = readCommands();

  constructor() {
    // Whatever ends this process ends the others too.
    process.once("exit", () => {
      for (const child of this.#running.values()) child.kill("SIGKILL");
    });
  }

  /** Starts a process with settings; `onExit` hears how it ended. */
  start(settings, onExit = () => {}) {
    const file = path.join(this.#folder, `${settings.host}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [program, ...words] = this.#commands[settings.role].split(" ");
    const logFile = path.join(this.#folder, `${settings.host}.log`);
    const log = fs.openSync(logFile, "a");
    const { PATH, HOME } = process.env;
    const child = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, GERANIUMKEEL_SETTINGS: file },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    child.once("exit", (code, signal) => onExit({ code, signal }));
    this.#running.set(settings.host, child);
    return child;
  }

  /** Sends a signal to the process of a host. */
  signal(host, signal) {
    this.#running.get(host).kill(signal);
  }

  /** Ends all processes; resolves when they are gone. */
  async close() {
    const ends = [...this.#running.values()].map((child) => {
      if (child.exitCode !== null || child.signalCode !== null) return true;
      const gone = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      return gone;
    });
    await Promise.all(ends);
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** The `run` lines of the deploy file, by role. */
function readCommands() {
  const file = path.join(ROOT, "deploy/system.toml");
  const text = fs.readFileSync(file, "utf8");
  const roles = text.matchAll(/^\[roles\.(\w+)\]\s+run = "(.*)"$/gm);
  return Object.fromEntries([...roles].map(([, role, run]) => [role, run]));
}
