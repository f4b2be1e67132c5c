/* global Buffer, URL, clearTimeout, performance, setTimeout */
import * as http from "node:http";

const GROUP = "g-0";
const EPOCH = 1;
const SETS = 4;
const EXPERTS = 24;
/** Experts of a set that may be new to a rank in one map. */
const SPARE = 4;
const COPY_MILLISECONDS = 50;
const PASS_MILLISECONDS = 60;
/** Time after which other experts are in demand. */
const SHIFT_MILLISECONDS = 1_700;
/** How often the requests of a rank choose experts of a set in one pass. */
const CHOSEN_A_PASS = 200;
const HELD_CHECK_MILLISECONDS = 1;

/** What the configuration says of the engines. */
export const ENGINE = {
  slots: 8,
  kvCapacity: 248_000,
  stride: 5,
  step_ms: 5.85,
  per_seq_ms: 0.5,
  read_per_s: 61_200,
  usual: { prompt: 835, answer: 138 },
  sets: SETS,
  experts: EXPERTS,
  placements: 8,
  spare: SPARE,
  expertMb: 575,
  linkMbps: 92_000,
  expertShare: 0.85,
  form_ms: 600,
};

/**
 * The engines of one group, which make passes together and take orders as the
 * platform's page says. They check conditions, and no fencing token. Their reports
 * are always fresh.
 */
export class EngineGroup {
  #log;
  #servers = [];
  #timer;
  #weights = [];
  #shiftedAt = -Infinity;
  #ranks;
  /** The last pass that was begun. */
  step = 0;
  /** Passes that began with one map more than the pass before. */
  switches = 0;
  /** Passes that began while two ranks had different maps. */
  mixedPasses = [];
  /** Called with each order that has begun something. */
  onOrder = () => {};

  constructor(log, size) {
    this.#log = log;
    const first = mapInTurn(size);
    this.#ranks = Array.from({ length: size }, (_, rank) => ({
      rank,
      sequence: 0,
      /** Highest version of a map that it has had. */
      highest: 0,
      map: { version: 0, experts: first },
      prepared: undefined,
      armed: undefined,
      held: undefined,
      counts: Array.from({ length: SETS * EXPERTS }, () => 0),
    }));
  }

  /** Opens a listener for each rank, and begins to make passes. */
  async start(addresses, port) {
    for (const [index, address] of addresses.entries()) {
      const rank = this.#ranks[index];
      const server = http.createServer((request, response) => {
        void this.#serve(rank, request, response);
      });
      await new Promise((done) => server.listen(port, address, done));
      this.#servers.push(server);
    }
    this.#pass();
  }

  /** Ends all listeners. */
  close() {
    clearTimeout(this.#timer);
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #pass() {
    const next = this.step + 1;
    if (this.#ranks.some(({ held }) => held === next)) {
      this.#timer = setTimeout(() => this.#pass(), HELD_CHECK_MILLISECONDS);
      return;
    }
    this.step = next;
    this.#switch();
    const versions = this.#ranks.map(({ map }) => map.version);
    if (new Set(versions).size > 1) this.#noteMixed(versions);
    this.#count();
    this.#timer = setTimeout(() => this.#pass(), PASS_MILLISECONDS);
  }

  /** Ranks that are armed for this pass use their new map from now on. */
  #switch() {
    const armed = this.#ranks.filter((rank) => rank.armed?.step === this.step);
    for (const rank of armed) {
      rank.map = rank.prepared;
      rank.prepared = undefined;
      rank.armed = undefined;
    }
    if (armed.length > 0) this.switches++;
  }

  #noteMixed(versions) {
    const { step } = this;
    this.#log.note("a pass begins with two maps", { step, versions });
    this.mixedPasses.push(step);
  }

  #count() {
    const now = performance.now();
    if (now - this.#shiftedAt > SHIFT_MILLISECONDS) {
      this.#shiftedAt = now;
      this.#weights = Array.from({ length: SETS }, drawWeights).flat();
    }
    for (const { counts } of this.#ranks)
      this.#weights.forEach((weight, index) => {
        counts[index] += Math.round(CHOSEN_A_PASS * weight);
      });
  }

  async #serve(rank, request, response) {
    response.on("error", () => {});
    const pieces = [];
    try {
      for await (const piece of request) pieces.push(piece);
    } catch {
      return;
    }
    const { pathname, searchParams } = new URL(request.url, "http://engine");
    const send = (status, body) => {
      if (response.destroyed) return;
      response.writeHead(status, { "Content-Type": "application/json" });
      response.end(JSON.stringify(body));
    };
    switch (pathname) {
      case "/-/report":
        return send(200, this.#report(rank));
      case "/-/picked":
        return send(200, this.#picked(rank, searchParams.has("lists")));
      case "/-/order":
        return send(this.#take(rank, JSON.parse(Buffer.concat(pieces))), {});
      default:
        return send(404, {});
    }
  }

  #report(rank) {
    return {
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
      born: 1,
      busy: false,
      sequence: rank.sequence,
      queued: 0,
      active: 6,
      kvUsed: 41_000,
      kvTotal: 90_000,
      handles: 0,
      step: this.step,
      map: rank.map.version,
      prepared: isLoaded(rank) ? rank.prepared.version : null,
      armed: rank.armed ?? null,
      held: rank.held ?? null,
      pace: 1,
      group: { name: GROUP, epoch: EPOCH, rank: rank.rank, state: "open" },
      size: this.#ranks.length,
    };
  }

  #picked({ rank, map, counts }, isForLists) {
    const { step } = this;
    if (!isForLists) return { step, epoch: EPOCH, born: 1, counts };
    const experts = map.experts.map((ofRanks) => ofRanks[rank]);
    return { map: { version: map.version, experts } };
  }

  #take(rank, order) {
    const status = this.#carryOut(rank, order);
    const { op, version, step, fencingToken: token } = order;
    const told = { rank: rank.rank, op, version, step, token, status };
    this.#log.note("order", told);
    if (status === 202) {
      rank.sequence++;
      this.onOrder(order);
    }
    return status;
  }

  #carryOut(rank, order) {
    const { epoch, precondition = rank.sequence } = order;
    if (epoch !== EPOCH || precondition !== rank.sequence) return 409;
    switch (order.op) {
      case "prepare":
        return prepare(rank, order);
      case "arm":
        return this.#arm(rank, order);
      case "disarm":
        if (rank.map.version === order.version) return 409;
        if (rank.armed?.version !== order.version) return 200;
        rank.armed = undefined;
        return 202;
      case "hold":
        if (rank.held === order.step) return 200;
        if (rank.held !== undefined || order.step <= this.step) return 409;
        rank.held = order.step;
        return 202;
      case "go":
        if (rank.held !== order.step) return 200;
        rank.held = undefined;
        return 202;
      default:
        return 400;
    }
  }

  #arm(rank, { version, step }) {
    const { armed } = rank;
    if (armed?.version === version && armed.step === step) return 200;
    const isPrepared = isLoaded(rank) && rank.prepared.version === version;
    if (!isPrepared || step <= this.step) return 409;
    rank.armed = { version, step };
    return 202;
  }
}

function prepare(rank, { version, map: experts }) {
  if (version <= rank.highest || rank.armed) return 409;
  const added = experts.map((ofRanks, set) => {
    const held = rank.map.experts[set][rank.rank];
    return ofRanks[rank.rank].filter((expert) => !held.includes(expert)).length;
  });
  if (added.some((count) => count > SPARE)) return 409;
  const copies = added.reduce((sum, count) => sum + count, 0);
  const loadedAt = performance.now() + copies * COPY_MILLISECONDS;
  rank.highest = version;
  rank.prepared = { version, experts, loadedAt };
  return 202;
}

function isLoaded({ prepared }) {
  return prepared !== undefined && performance.now() >= prepared.loadedAt;
}

/** Map 0: experts in turn, by set and rank. */
function mapInTurn(size) {
  const all = Array.from({ length: EXPERTS }, (_, expert) => expert);
  const ofRanks = Array.from({ length: size }, (_, rank) =>
    all.filter((expert) => expert % size === rank),
  );
  return Array.from({ length: SETS }, () => ofRanks);
}

/** How much each expert of a set is in demand; the sum is 1. */
function drawWeights() {
  const places = Array.from({ length: EXPERTS }, (_, place) => place + 1);
  const weights = places
    .map((place) => ({ weight: 1 / place, at: Math.random() }))
    .sort((left, right) => left.at - right.at)
    .map(({ weight }) => weight);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  return weights.map((weight) => weight / sum);
}
