/**
 * Starts the project's own entries by the command of the deploy file, and
 * runner stand-ins, all as separate processes on loopback addresses. Keeps a
 * record of what is sent, run and answered.
 */
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as store from "./store.mjs";
/* global clearInterval, clearTimeout, setInterval, setTimeout, performance */

const ROOT = path.resolve(import.meta.dirname, "../..");
const HEARTBEAT_MS = 1_200;
const READY_TIMEOUT_MS = 20_000;

/** Bounds of the deployment, as its sheet gives them. */
export const BOUNDS = {
  graceS: 8,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 88,
};

/** The entries, the runners and the store of one case. */
export class Deployment {
  store = new store.Store();
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  #network = `127.${crypto.randomInt(10, 250)}.${crypto.randomInt(1, 250)}`;
  #entries = new Map();
  #runners = new Map();
  #held = [];
  #startedAt = performance.now();
  #record;
  #configuration;
  #onMessage = () => {};

  constructor(folder, configuration) {
    this.#record = fs.createWriteStream(path.join(folder, "record.txt"));
    this.#configuration = configuration;
  }

  /** Writes a line of the record, with the milliseconds since the start. */
  note(text) {
    const at = (performance.now() - this.#startedAt).toFixed(0).padStart(6);
    this.#record.write(`${at} ${text}\n`);
  }

  /** Calls `listener` with each message of a runner. */
  onRunner(listener) {
    this.#onMessage = listener;
  }

  /** Starts entries; each has a name and address of its own. */
  async startEntries(count) {
    this.store.put("op", "config", this.#configuration);
    for (let number = 1; number <= count; number++) {
      const address = `${this.#network}.${number}`;
      const storeAddress = await this.store.listen();
      this.#entries.set(number, { address, storeAddress });
      this.startEntry(number);
    }
    for (const number of this.#entries.keys()) await this.ready(number);
  }

  /** Starts the process of an entry. */
  startEntry(number) {
    const entry = this.#entries.get(number);
    const { address, storeAddress } = entry;
    const file = path.join(this.#folder, `entry-${number}.json`);
    const seeds = [...this.#entries.values()].map((one) => one.address);
    const settings = {
      role: "entry",
      host: `edge-heredia-${number}`,
      address,
      dataCentre: "heredia",
      listen: {
        callers: `${address}:8227`,
        readiness: `${address}:8220`,
        directory: `${address}:8224`,
        operators: `${address}:8229`,
      },
      linkPort: 7340,
      seeds: seeds.slice(0, 3).map((seed) => `${seed}:8229`),
      store: storeAddress,
      stopSeconds: BOUNDS.graceS,
      revocationMilliseconds: BOUNDS.revokeMs,
      retries: {
        share: BOUNDS.retryBudgetRatio,
        allowance: BOUNDS.retryBudgetSlack,
      },
    };
    fs.writeFileSync(file, JSON.stringify(settings));
    const { command, options } = commandOf("entry");
    const log = fs.openSync(path.join(this.#folder, `${number}.log`), "a");
    entry.process = childProcess.spawn(command, options, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GERANIUMKEEL_SETTINGS: file,
      },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    entry.exited = new Promise((resolve) =>
      entry.process.once("exit", (code, signal) => {
        this.note(`entry ${number} ended: ${signal ?? code}`);
        resolve();
      }),
    );
    this.note(`entry ${number} started, process ${entry.process.pid}`);
  }

  /** Resolves once an entry says that it is ready. */
  async ready(number) {
    const { address } = this.#entries.get(number);
    const latest = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      const answer = await ask({
        host: address,
        port: 8220,
        path: "/-/readyz",
      });
      if (answer.status === 200) return;
      if (performance.now() > latest) throw new Error("entry not ready");
      await sleep(50);
    }
  }

  /** Sends a signal to the process of an entry. */
  signalEntry(number, signal) {
    this.note(`entry ${number} gets ${signal}`);
    this.#entries.get(number).process.kill(signal);
  }

  /** Address of an entry. */
  addressOf(number) {
    return this.#entries.get(number).address;
  }

  /** Starts a runner and registers it; resolves once it listens. */
  async startRunner({ name, port = 0, service, slots = 8, ...answer }) {
    const id = `i-${crypto.randomBytes(5).toString("hex")}`;
    const options = JSON.stringify({ id, port, ...answer });
    const program = path.join(import.meta.dirname, "runner.mjs");
    const child = childProcess.fork(program, [options]);
    const runner = { id, name, child, sequence: 0 };
    runner.gone = new Promise((resolve) => child.once("exit", resolve));
    const listening = new Promise((resolve) => {
      child.on("message", (message) => {
        if (message.kind === "listening") resolve(message.port);
        else {
          const { kind, request, after } = message;
          const rest = after ? ` after event ${after}` : "";
          this.note(`runner ${name} (${id}) ${kind} ${request}${rest}`);
          this.#onMessage({ ...message, name });
        }
      });
    });
    runner.port = await listening;
    runner.born = Date.now();
    runner.service = service;
    runner.slots = slots;
    this.#runners.set(name, runner);
    this.#beat(runner);
    runner.timer = setInterval(() => this.#beat(runner), HEARTBEAT_MS);
    this.note(`runner ${name} (${id}) started, process ${child.pid}`);
    return runner;
  }

  #beat(runner) {
    runner.sequence++;
    this.store.put("servers", runner.id, {
      service: runner.service,
      address: `127.0.0.1:${runner.port}`,
      zone: "heredia",
      version: "v1",
      slots: runner.slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: runner.sequence,
      born: runner.born,
    });
  }

  /** The runner that was started last under a name. */
  runner(name) {
    return this.#runners.get(name);
  }

  /** Ends a runner at once; its entry goes after three heartbeat intervals. */
  async killRunner(name) {
    const runner = this.#runners.get(name);
    clearInterval(runner.timer);
    this.note(`runner ${name} is killed`);
    runner.child.kill("SIGKILL");
    await runner.gone;
    setTimeout(
      () => this.store.remove("servers", runner.id),
      3 * HEARTBEAT_MS,
    ).unref();
  }

  /** Opens idle connections to a runner, as other callers of it have them. */
  async holdConnections(runner, count) {
    for (let number = 0; number < count; number++) {
      const socket = net.connect(runner.port, "127.0.0.1");
      socket.on("error", () => {});
      socket.on("end", () => socket.destroy());
      this.#held.push(socket);
      await new Promise((resolve) => {
        socket.once("connect", resolve);
        socket.once("close", resolve);
      });
    }
  }

  /** Ends all processes that were started. */
  async close() {
    for (const socket of this.#held) socket.destroy();
    for (const { process: child } of this.#entries.values()) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    for (const { child, timer } of this.#runners.values()) {
      clearInterval(timer);
      child.kill("SIGKILL");
    }
    const entries = [...this.#entries.values()].map(({ exited }) => exited);
    const runners = [...this.#runners.values()].map(({ gone }) => gone);
    await Promise.all([...entries, ...runners]);
    this.store.close();
    fs.rmSync(this.#folder, { recursive: true });
    await new Promise((resolve) => this.#record.end(resolve));
  }
}

/** The `run` line of a role in the deploy file. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const [, section] = text.split(`[roles.${role}]`);
  const [, line] = /run = "([^"]+)"/.exec(section);
  const [command, ...options] = line.split(" ");
  return { command, options };
}

/** Resolves after so many milliseconds. */
export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/**
 * Sends a request on a connection of its own. Resolves to the status, the
 * headers and the body that came, and whether the answer is complete in the
 * protocol; the status is 0 without an answer.
 */
export function ask({ body, timeoutMs = 10_000, ...options }) {
  return new Promise((resolve) => {
    let settled = false;
    const settle = (answer) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      request.destroy();
      resolve(answer);
    };
    const none = { status: 0, headers: {}, body: "", complete: false };
    const request = http.request({ ...options, agent: false }, (response) => {
      const { statusCode: status, headers } = response;
      let text = "";
      response.setEncoding("latin1");
      response.on("data", (piece) => (text += piece));
      const end = () => {
        const complete = response.complete;
        settle({ status, headers, body: text, complete });
      };
      response.once("end", end);
      response.once("error", end);
      response.once("close", end);
    });
    const timer = setTimeout(() => settle(none), timeoutMs);
    request.once("error", () => settle(none));
    request.end(body);
  });
}
