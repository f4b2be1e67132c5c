import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

/* global Buffer, clearTimeout, setTimeout */

const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "../..",
);
const READY_MILLISECONDS = 25_000;

/** Resolves after some time. */
export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** The words of the deploy file's command for a role. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const [, command] = /^run = "([^"]+)"/m.exec(section);
  return command.split(" ");
}

/** The bounds of a small deployment that the program reads. */
const BOUNDS = {
  stopSeconds: 8,
  revocationMilliseconds: 5_000,
  retries: { share: 0.2, allowance: 88 },
};

/** The processes of entry hosts, started with the command of the deploy file. */
export class Entries {
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), "geraniumkeel-review-"));
  #processes = new Map();

  /** `network`: the first three numbers of the hosts' loopback addresses. */
  constructor({ store, network, zones }) {
    this.store = store;
    this.network = network;
    this.zones = zones;
    this.hosts = zones.map((zone, index) => {
      const before = zones.slice(0, index).filter((other) => other === zone);
      return `edge-${zone}-${before.length + 1}`;
    });
  }

  /** Address of a host. */
  addressOf(host) {
    return `${this.network}.${this.hosts.indexOf(host) + 1}`;
  }

  /** Opens the store for all hosts, starts them, and waits until they are ready. */
  async start() {
    this.stores = new Map();
    for (const host of this.hosts) {
      const address = await this.store.listenFor(host, `${this.network}.250`);
      this.stores.set(host, address);
    }
    for (const host of this.hosts) this.spawn(host);
    const until = Date.now() + READY_MILLISECONDS;
    for (const host of this.hosts) {
      while (!(await this.isReady(host))) {
        if (Date.now() > until) throw new Error(`${host} is not ready`);
        await sleep(50);
      }
    }
  }

  /** Starts the process of a host. */
  spawn(host) {
    const address = this.addressOf(host);
    const at = (port) => `${address}:${port}`;
    const settings = {
      role: "entry",
      host,
      address,
      dataCentre: this.zones[this.hosts.indexOf(host)],
      listen: {
        callers: at(8227),
        readiness: at(8220),
        directory: at(8224),
        operators: at(8229),
      },
      linkPort: 7340,
      seeds: this.hosts.map((other) => `${this.addressOf(other)}:8229`),
      store: this.stores.get(host),
      ...BOUNDS,
    };
    const file = path.join(this.#folder, `${host}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const log = fs.openSync(path.join(this.#folder, `${host}.log`), "a");
    const [program, ...words] = commandOf("entry");
    const { PATH, HOME, LANG } = process.env;
    const started = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GERANIUMKEEL_SETTINGS: file },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.#processes.set(host, started);
  }

  /** Sends a signal to the process of a host. */
  signal(host, signal) {
    this.#processes.get(host).kill(signal);
  }

  /** Stops a host as planned, and waits until its process has ended. */
  async stop(host) {
    const stopped = this.#processes.get(host);
    const exited = new Promise((resolve) => stopped.once("exit", resolve));
    stopped.kill("SIGTERM");
    await exited;
  }

  /** Stops a host as planned, starts it again, and waits until it is ready. */
  async restart(host) {
    await this.stop(host);
    await this.startAgain(host);
  }

  /** Starts a host again, and waits until it is ready. */
  async startAgain(host) {
    this.spawn(host);
    const until = Date.now() + READY_MILLISECONDS;
    while (!(await this.isReady(host))) {
      if (Date.now() > until) throw new Error(`${host} is not ready`);
      await sleep(50);
    }
  }

  /** Whether a host says that callers may be sent to it. */
  async isReady(host) {
    const answer = await ask({ host: this.addressOf(host), port: 8220 });
    return answer.status === 200;
  }

  /** Addresses that a host names to callers; none without an answer. */
  async resolve(host) {
    const answer = await ask({
      host: this.addressOf(host),
      port: 8224,
      path: "/-/resolve?name=h.example&region=r&zone=z",
      timeoutMilliseconds: 1_000,
    });
    if (answer.status !== 200) return [];
    return JSON.parse(answer.body).addresses;
  }

  /** Ends all processes and removes their files, unless `KEEP` is set. */
  close() {
    for (const started of this.#processes.values()) started.kill("SIGKILL");
    if (process.env.KEEP) process.stdout.write(`logs: ${this.#folder}\n`);
    else fs.rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Sends one request on a connection of its own; status 0 without an answer. */
export function ask(options) {
  const { timeoutMilliseconds = 1_000, body, ...others } = options;
  return new Promise((resolve) => {
    const request = http.request({ path: "/", agent: false, ...others });
    const timer = setTimeout(
      () => request.destroy(new Error("no answer in time")),
      timeoutMilliseconds,
    );
    const done = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    const fail = (cause) =>
      done({ status: 0, body: "", headers: {}, error: cause.message });
    request.on("error", fail);
    request.on("response", (response) => {
      const pieces = [];
      response.on("data", (piece) => pieces.push(piece));
      response.on("error", fail);
      response.on("end", () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString(),
        }),
      );
    });
    request.end(body);
  });
}
