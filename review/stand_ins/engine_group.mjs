import * as net from "node:net";
import * as perfHooks from "node:perf_hooks";
import * as parseRequest from "./parse_request.mjs";

/* global Buffer, URL, setTimeout, clearTimeout, setInterval, clearInterval */

const PASS_MS = 40;
/** Time that a rank takes to copy one expert: `expertMb` over `linkMbps`. */
const COPY_MS = 50;
const HEARTBEAT_MS = 1_200;
const COUNT_MS = 100;
/** Choices of experts that one rank's requests make in each set in `COUNT_MS`. */
const CHOICES = 400;
const STATUS_OK = 200;
const STATUS_BEGUN = 202;
const STATUS_CONFLICT = 409;
const STATUS_OLD_TOKEN = 412;
const STATUS_BAD_ORDER = 400;
const LEAST_LATE_MS = 2_000;
const MOST_LATE_MS = 12_000;

/** One engine of a group: its maps, and the orders that it has accepted. */
class Rank {
  sequence = 0;
  token = -1;
  highestVersion = 0;
  map;
  prepared;
  preparing;
  armed;
  held;
  counts;

  constructor(rank, sizes, firstMap) {
    this.rank = rank;
    this.sizes = sizes;
    this.map = { version: 0, experts: firstMap };
    this.counts = new Array(sizes.sets * sizes.experts).fill(0);
  }

  /** Carries out an order now; the status of its answer. */
  execute(order, { epoch, step }) {
    if (order.epoch !== undefined && order.epoch !== epoch) {
      return STATUS_CONFLICT;
    }
    if (order.fencingToken !== undefined) {
      if (order.fencingToken < this.token) return STATUS_OLD_TOKEN;
      this.token = order.fencingToken;
    }
    const { precondition } = order;
    if (precondition !== undefined && precondition !== this.sequence) {
      return STATUS_CONFLICT;
    }
    const status = this.#begin(order, step);
    if (status === STATUS_BEGUN) this.sequence++;
    return status;
  }

  #begin(order, step) {
    const { version } = order;
    switch (order.op) {
      case "prepare":
        return this.#prepare(order);
      case "arm":
        if (this.armed?.version === version && this.armed.step === order.step) {
          return STATUS_OK;
        }
        if (this.prepared?.version !== version || step >= order.step) {
          return STATUS_CONFLICT;
        }
        this.armed = { version, step: order.step };
        return STATUS_BEGUN;
      case "disarm":
        if (this.map.version === version) return STATUS_CONFLICT;
        if (this.armed?.version !== version) return STATUS_OK;
        this.armed = undefined;
        return STATUS_BEGUN;
      case "hold":
        if (this.held === order.step) return STATUS_OK;
        if (this.held !== undefined || step >= order.step) {
          return STATUS_CONFLICT;
        }
        this.held = order.step;
        return STATUS_BEGUN;
      case "go":
        if (this.held !== order.step) return STATUS_OK;
        this.held = undefined;
        return STATUS_BEGUN;
      default:
        return STATUS_BAD_ORDER;
    }
  }

  #prepare({ version, map }) {
    if (this.armed || version <= this.highestVersion) return STATUS_CONFLICT;
    const experts = map.map((ranks) => ranks[this.rank]);
    const added = experts.map((list, set) =>
      list.filter((expert) => !this.map.experts[set].includes(expert)),
    );
    if (added.some(({ length }) => length > this.sizes.spare)) {
      return STATUS_CONFLICT;
    }
    this.highestVersion = version;
    this.prepared = undefined;
    clearTimeout(this.preparing);
    const copies = added.reduce((sum, { length }) => sum + length, 0);
    this.preparing = setTimeout(() => {
      this.preparing = undefined;
      this.prepared = { version, experts };
    }, copies * COPY_MS);
    return STATUS_BEGUN;
  }

  /** A pass begins: an armed rank switches to its map at the pass it is told. */
  beginPass(step) {
    if (this.armed === undefined || this.armed.step > step) return;
    this.map = this.prepared;
    this.prepared = undefined;
    this.armed = undefined;
  }
}

/**
 * A group of engines in lock-step, each at an address of its own, as
 * PROTOCOL.md tells them. Every pass is checked: no two ranks may have different
 * maps, by version or content.
 */
export class EngineGroup {
  #servers = [];
  #timers = [];
  #bornAt = Date.now();
  #popular;
  step = 0;
  epoch = 1;
  /** Passes that began while ranks had different maps. */
  broken = [];
  switches = 0;
  /** Whether an order gets no answer, and is carried out late. */
  isLate = () => false;
  /** Whether an answer of a rank comes again, where the next one is due. */
  isDoubled = () => false;
  extras = 0;
  lates = 0;

  constructor({ addresses, sizes, service, store, record }) {
    Object.assign(this, { addresses, sizes, service, store, record });
    const map = this.#firstMap();
    this.ranks = addresses.map((_, rank) => new Rank(rank, sizes, map[rank]));
    this.shiftDemand();
  }

  /** Experts in turn, by rank and set. */
  #firstMap() {
    const { sets, experts } = this.sizes;
    return this.addresses.map((_, rank) =>
      Array.from({ length: sets }, () =>
        Array.from({ length: experts }, (_none, expert) => expert).filter(
          (expert) => expert % this.addresses.length === rank,
        ),
      ),
    );
  }

  /** Opens all listeners, registers, and begins to make passes. */
  async start(port) {
    this.port = port;
    for (const [rank, address] of this.addresses.entries()) {
      const server = net.createServer((socket) => this.#accept(rank, socket));
      await new Promise((resolve) => server.listen(port, address, resolve));
      this.#servers.push(server);
    }
    this.#register();
    this.#timers.push(
      setInterval(() => this.#register(), HEARTBEAT_MS),
      setInterval(() => this.#pass(), PASS_MS),
      setInterval(() => this.#count(), COUNT_MS),
    );
  }

  /** Ends everything. */
  close() {
    for (const timer of this.#timers) clearInterval(timer);
    for (const server of this.#servers) server.close();
  }

  /** Other experts are in demand from now on. */
  shiftDemand() {
    const { sets, experts } = this.sizes;
    this.#popular = Array.from({ length: sets }, () => {
      const order = Array.from({ length: experts }, (_, expert) => expert);
      for (let place = experts - 1; place > 0; place--) {
        const other = Math.floor(Math.random() * (place + 1));
        [order[place], order[other]] = [order[other], order[place]];
      }
      const weights = new Array(experts);
      order.forEach((expert, place) => {
        weights[expert] = 1 / (place + 1);
      });
      const sum = weights.reduce((total, weight) => total + weight, 0);
      return weights.map((weight) => weight / sum);
    });
  }

  #count() {
    const { sets, experts } = this.sizes;
    for (const { counts } of this.ranks) {
      for (let set = 0; set < sets; set++) {
        for (let expert = 0; expert < experts; expert++) {
          const mean = this.#popular[set][expert] * CHOICES;
          const noise = (Math.random() - 0.5) * 2 * Math.sqrt(mean);
          const chosen = Math.max(0, Math.round(mean + noise));
          counts[set * experts + expert] += chosen;
        }
      }
    }
  }

  #pass() {
    const next = this.step + 1;
    if (this.ranks.some(({ held }) => held === next)) return;
    this.step = next;
    const before = this.ranks[0].map.version;
    for (const rank of this.ranks) rank.beginPass(next);
    if (this.ranks[0].map.version !== before) this.switches++;
    const versions = this.ranks.map(({ map }) => map.version);
    if (versions.every((version) => version === versions[0])) return;
    if (this.broken.length === 0) {
      this.record({ what: "MAP", step: next, versions: versions.join(",") });
    }
    this.broken.push(next);
  }

  #register() {
    for (const [rank, address] of this.addresses.entries()) {
      this.store.put("servers", `i-${rank}`, {
        service: this.service,
        address: `${address}:${this.port}`,
        zone: "z1",
        version: "v1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 0,
        sequence: Math.floor(perfHooks.performance.now() / HEARTBEAT_MS),
        born: this.#bornAt,
      });
    }
  }

  /** Requests on one connection, which is kept. */
  #accept(number, socket) {
    let received = Buffer.alloc(0);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (piece) => {
      received = Buffer.concat([received, piece]);
      for (;;) {
        const request = parseRequest.parseRequest(received);
        if (request === undefined) return;
        received = received.subarray(request.bytes);
        this.#serve(number, socket, request);
      }
    });
  }

  #serve(number, socket, { target, body }) {
    const rank = this.ranks[number];
    const url = new URL(target, "http://engine");
    if (socket.extra !== undefined) {
      socket.write(socket.extra);
      this.record({ what: "extra", rank: number, before: url.pathname });
      this.extras++;
      socket.extra = undefined;
    }
    switch (url.pathname) {
      case "/-/report":
        return this.#send(number, socket, STATUS_OK, this.#report(rank));
      case "/-/picked": {
        const { step, epoch } = this;
        const { map, prepared, counts } = rank;
        const document = url.searchParams.has("lists")
          ? { map, prepared: prepared ?? null }
          : { step, epoch, born: this.#bornAt, counts };
        return this.#send(number, socket, STATUS_OK, document);
      }
      case "/-/order":
        return this.#order(number, socket, JSON.parse(body));
      default:
        return this.#send(number, socket, 404, {});
    }
  }

  #order(number, socket, order) {
    const rank = this.ranks[number];
    const { op, version, step } = order;
    const what = { rank: number, op, version, step };
    if (this.isLate()) {
      this.lates++;
      const lateMs =
        LEAST_LATE_MS + Math.random() * (MOST_LATE_MS - LEAST_LATE_MS);
      this.record({ what: "late", ...what });
      this.#timers.push(
        setTimeout(() => {
          const status = rank.execute(order, this);
          this.record({ what: "done", ...what, status });
        }, lateMs),
      );
      return;
    }
    const status = rank.execute(order, this);
    this.record({ what: "order", ...what, status });
    this.#send(number, socket, status, {});
  }

  #send(number, socket, status, document) {
    const body = JSON.stringify(document);
    const bytes = [
      `HTTP/1.1 ${status} x`,
      "Content-Type: application/json",
      `Content-Length: ${Buffer.byteLength(body)}`,
      "",
      body,
    ].join("\r\n");
    socket.write(bytes);
    if (this.isDoubled(number)) socket.extra = bytes;
  }

  #report(rank) {
    return {
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
      born: this.#bornAt,
      busy: rank.preparing !== undefined,
      sequence: rank.sequence,
      queued: 0,
      active: 6,
      kvUsed: 1_000,
      kvTotal: 248_000,
      handles: 0,
      step: this.step,
      map: rank.map.version,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed ?? null,
      held: rank.held ?? null,
      pace: 1,
      group: {
        name: "g1",
        epoch: this.epoch,
        rank: rank.rank,
        state: "open",
      },
      size: this.addresses.length,
    };
  }
}
