import * as http from "node:http";

/* global Buffer, URL, clearTimeout, setTimeout */

const HISTORY_MILLISECONDS = 20_000;
const FOREIGN_TABLES = new Set(["op", "servers"]);

/**
 * The platform's store: rows with versions, transactions under conditions and a
 * feed of changes. Each host of the system calls it at an address of its own, so
 * that the store can turn single hosts away.
 */
export class Store {
  #rows = new Map();
  #version = 0;
  #changes = [];
  #forgottenUpTo = 0;
  #waiting = new Set();
  #servers = [];
  /** Calls that were answered or turned away: `{ at, host, path, table, status }`. */
  calls = [];
  /** Hosts that are turned away with 503. */
  turnedAway = new Set();
  /** Whether all hosts are turned away with 503. */
  away = false;
  /** How often the store came back from a copy; told in all answers. */
  era = 1;

  /** Opens the address at which a host calls the store. */
  async listenFor(host, address) {
    const server = http.createServer((request, response) => {
      void this.#serve(host, request, response);
    });
    server.keepAliveTimeout = 10_000;
    this.#servers.push(server);
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, address, resolve);
    });
    return `${address}:${server.address().port}`;
  }

  /** Ends all connections. */
  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** The operator or a runner writes a row; returns the moment of its acceptance. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write([{ table, part: "", key, value: text }]);
    return Date.now();
  }

  /** The operator or a runner removes a row; returns the moment of that. */
  remove(table, key) {
    this.#write([{ table, part: "", key, removed: true }]);
    return Date.now();
  }

  /** What the store holds now. */
  copy() {
    return { rows: new Map(this.#rows), version: this.#version };
  }

  /** Comes back from a copy: what was written since is gone. */
  comeBackFrom({ rows, version }) {
    this.#rows = new Map(rows);
    this.#version = version;
    this.#changes = [];
    this.#forgottenUpTo = version;
    this.era++;
    for (const done of [...this.#waiting]) done();
  }

  async #serve(host, request, response) {
    const pieces = [];
    try {
      for await (const piece of request) pieces.push(piece);
    } catch {
      return;
    }
    const url = new URL(request.url, "http://store");
    const answer =
      this.away || this.turnedAway.has(host)
        ? { status: 503, body: {} }
        : await this.#answer(url, Buffer.concat(pieces).toString(), response);
    const { status } = answer;
    this.calls.push({
      at: Date.now(),
      host,
      path: url.pathname,
      table: url.searchParams.get("table") ?? "",
      status,
    });
    if (response.destroyed) return;
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": String(this.era),
    });
    response.end(JSON.stringify(answer.body));
  }

  async #answer(url, text, response) {
    const told = (name) => url.searchParams.get(name) ?? "";
    switch (url.pathname) {
      case "/-/rows-get":
        return this.#get(told("table"), told("part"), told("from"), told("to"));
      case "/-/rows-feed":
        return this.#feed(
          told("table"),
          Number(told("after")),
          Number(told("waitMs")),
          response,
        );
      case "/-/rows-tx":
        return this.#transact(JSON.parse(text));
      default:
        return { status: 404, body: {} };
    }
  }

  #stamp() {
    return { ver: this.#version, nowMs: Math.round(Date.now()) };
  }

  #get(table, part, from, to) {
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === "" || key < to))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { status: 200, body: { rows, hasMore: false, ...this.#stamp() } };
  }

  async #feed(table, after, waitMilliseconds, response) {
    const news = () =>
      this.#changes
        .map(({ row }) => row)
        .filter((row) => row.table === table && row.ver > after);
    const { era } = this;
    const isGone = () =>
      after > this.#version || after < this.#forgottenUpTo || this.era !== era;
    const until = Date.now() + waitMilliseconds;
    while (!isGone() && news().length === 0) {
      const left = until - Date.now();
      if (left <= 0 || response.destroyed) break;
      await this.#change(left);
    }
    if (isGone()) return { status: 410, body: {} };
    return { status: 200, body: { rows: news(), ...this.#stamp() } };
  }

  #change(milliseconds) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, milliseconds);
      this.#waiting.add(done);
    });
  }

  #transact({ precondition = [], put = [], remove = [] }) {
    const writes = [
      ...put,
      ...remove.map((row) => ({ ...row, removed: true })),
    ];
    if (writes.some(({ table }) => FOREIGN_TABLES.has(table)))
      return { status: 403, body: {} };
    const current = (row) => this.#rows.get(nameOf(row));
    const holds = precondition.every(
      (row) => (current(row)?.ver ?? 0) === row.ver,
    );
    if (!holds) {
      const rows = precondition.map(
        (row) => current(row) ?? { ...row, ver: 0, removed: true },
      );
      return { status: 412, body: { rows, ...this.#stamp() } };
    }
    this.#write(writes);
    return { status: 200, body: this.#stamp() };
  }

  #write(rows) {
    this.#version++;
    const now = Date.now();
    for (const row of rows) {
      const written = { ...row, part: row.part ?? "", ver: this.#version };
      if (row.removed) this.#rows.delete(nameOf(row));
      else this.#rows.set(nameOf(row), written);
      this.#changes.push({ row: written, at: now });
    }
    while (
      this.#changes.length > 0 &&
      now - this.#changes[0].at > HISTORY_MILLISECONDS
    )
      this.#forgottenUpTo = this.#changes.shift().row.ver;
    for (const done of [...this.#waiting]) done();
  }
}

function nameOf({ table, part, key }) {
  return JSON.stringify([table, part ?? "", key]);
}
