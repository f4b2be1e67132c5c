import * as http from "node:http";
import * as perfHooks from "node:perf_hooks";
import * as processes from "./processes.mjs";

const LISTENERS = ["callers", "readiness", "directory", "operators"];
const READY_MS = 20_000;

/** Status of a GET; 0 without an answer. */
function statusOf(address) {
  return new Promise((resolve) => {
    const request = http.get(`http://${address}/`, { agent: false });
    request.once("error", () => resolve(0));
    request.once("response", (response) => {
      response.resume();
      resolve(response.statusCode);
    });
  });
}

/** The project's entry processes, each at a loopback address of its own. */
export class Entries extends processes.Processes {
  #network = processes.drawNetwork();

  /** Starts `count` entries that use a store; resolves once all are ready. */
  async start(count, store) {
    const linkPort = await processes.freePort(`${this.#network}.1`);
    for (let index = 0; index < count; index++) {
      const address = `${this.#network}.${index + 1}`;
      const listen = {};
      for (const name of LISTENERS) {
        listen[name] = `${address}:${await processes.freePort(address)}`;
      }
      this.settings.push({
        role: "entry",
        host: `edge-${index + 1}`,
        address,
        dataCentre: "z1",
        listen,
        linkPort,
        seeds: [],
        store,
        stopSeconds: 8,
        revocationMilliseconds: 5_000,
        retries: { share: 0.2, allowance: 88 },
      });
    }
    const seeds = this.settings.slice(0, 3);
    for (const own of this.settings) {
      own.seeds = seeds.map(({ listen }) => listen.operators);
    }
    for (let index = 0; index < count; index++) this.startOne(index);
    for (let index = 0; index < count; index++) await this.ready(index);
  }

  /** Resolves once an entry says that callers may be sent to it. */
  async ready(index) {
    const deadline = perfHooks.performance.now() + READY_MS;
    const { readiness } = this.settings[index].listen;
    while ((await statusOf(readiness)) !== 200) {
      if (perfHooks.performance.now() > deadline)
        throw new Error("entry not ready");
      await processes.sleep(50);
    }
  }

  /** Where callers connect to an entry. */
  callersOf(index) {
    const [host, port] = this.settings[index].listen.callers.split(":");
    return { host, port: Number(port) };
  }
}
