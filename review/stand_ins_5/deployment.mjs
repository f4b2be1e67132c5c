import * as http from "node:http";
import * as net from "node:net";
import * as processesModule from "./processes.mjs";
import * as record from "./record.mjs";
import * as storeModule from "./store.mjs";

/** Port of the metrics of each process. */
const METRICS_PORT = 9_464;
/** Time after which processes are in touch, in milliseconds (`stableWindowMs`). */
export const STABLE_WINDOW_MILLISECONDS = 3_000;

/** Kinds of request as on the users' sheet: two plain ones, and a stream. */
export const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: "r-stock",
      host: "h.example",
      prefix: "/stock/",
      kind: "unsafe",
      timeoutMs: 2_000,
      targetLatencyMs: 387,
      priority: 2,
      service: "bodega",
      maxAttempts: 1,
      public: false,
    },
    {
      name: "r-ruta",
      host: "h.example",
      prefix: "/ruta/",
      kind: "safe",
      timeoutMs: 2_000,
      targetLatencyMs: 386,
      priority: 2,
      service: "bodega",
      maxAttempts: 2,
      public: false,
    },
    {
      name: "r-confirma",
      host: "h.example",
      prefix: "/confirma/",
      kind: "stream",
      timeoutMs: 8_000,
      targetLatencyMs: 401,
      priority: 1,
      service: "asistente",
      maxAttempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      targetGapMs: 120,
    },
  ],
  services: [
    {
      name: "asistente",
      healthPath: "/healthz",
      maxConnections: 248,
      protocol: "h1",
      tls: false,
    },
    {
      name: "bodega",
      healthPath: "/healthz",
      maxConnections: 96,
      protocol: "h1",
      tls: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "t-1", apiKeys: ["key-1"], priority: 1 }],
};

/** The store and the entries of a small deployment. */
export class Deployment {
  store = new storeModule.Store();
  processes = new processesModule.Processes();
  /** Settings of the entries, by host. */
  #settings = new Map();

  /** Starts entries; resolves when all say that they are ready. */
  async start(count) {
    const { store } = this;
    store.put("op", "config", CONFIGURATION);
    const addresses = await freeAddresses(count);
    for (const [index, address] of addresses.entries()) {
      const host = `edge-${index + 1}`;
      const storeAddress = await store.addressFor(host);
      const settings = entrySettings(host, address, storeAddress);
      this.#settings.set(host, settings);
    }
    for (const host of this.hosts) this.startEntry(host);
    for (const host of this.hosts) {
      const { readiness } = this.#settings.get(host).listen;
      await record.until(() => isReady(readiness));
    }
  }

  /** Names of the entries' hosts. */
  get hosts() {
    return [...this.#settings.keys()];
  }

  /** Starts an entry, or starts it anew. */
  startEntry(host, onExit) {
    return this.processes.start(this.#settings.get(host), onExit);
  }

  /** Address at which an entry takes requests. */
  addressOf(host) {
    return this.#settings.get(host).listen.callers;
  }

  /** Ends all processes and the store. */
  async close() {
    await this.processes.close();
    this.store.close();
  }
}

/** What the settings template makes of the fields of an entry machine. */
function entrySettings(host, address, store) {
  return {
    role: "entry",
    host,
    address,
    dataCentre: "heredia",
    listen: {
      callers: `${address}:8227`,
      readiness: `${address}:8220`,
      directory: `${address}:8224`,
      operators: `${address}:8229`,
    },
    linkPort: 7_340,
    seeds: [],
    store,
    stopSeconds: 8,
    revocationMilliseconds: 5_000,
    retries: { share: 0.2, allowance: 88 },
  };
}

/** Loopback addresses in a network in which no other process listens. */
export async function freeAddresses(count) {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${part()}.${part()}`;
    const addresses = Array.from(
      { length: count },
      (_, index) => `${network}.${index + 1}`,
    );
    const free = await Promise.all(addresses.map(isFree));
    if (free.every(Boolean)) return addresses;
  }
}

function isFree(address) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(METRICS_PORT, address, () => {
      server.close(() => resolve(true));
    });
  });
}

function isReady(address) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const options = { host, port, path: "/-/readyz", agent: false };
    const request = http.get(options, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on("error", () => resolve(false));
  });
}
