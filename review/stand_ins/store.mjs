import * as http from "node:http";
import * as perfHooks from "node:perf_hooks";

/* global Buffer, URL, setTimeout, clearTimeout */

/** How long changes are remembered, in milliseconds. */
const HISTORY_MS = 20_000;

/** Reads a message to its end. */
async function readAll(message) {
  const pieces = [];
  for await (const piece of message) pieces.push(piece);
  return Buffer.concat(pieces).toString();
}

/**
 * A sound store of the platform: rows with conditions, reads as of one moment,
 * and a feed of changes. Every answer bears `Store-Era: 1`.
 */
export class Store {
  #rows = new Map();
  #version = 0;
  #changes = [];
  #forgottenUpTo = 0;
  #wakers = new Set();
  #startedAt = perfHooks.performance.now();
  #server = http.createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** Opens the listener; resolves to the address to call. */
  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Ends all connections. */
  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The operator or a runner writes a row. */
  put(table, key, document) {
    const value = Buffer.from(JSON.stringify(document)).toString("base64");
    this.#write([{ table, part: "", key, value }]);
  }

  /** A row is removed. */
  remove(table, key) {
    this.#write([{ table, part: "", key, removed: true }]);
  }

  async #serve(request, response) {
    const body = await readAll(request);
    const url = new URL(request.url, "http://store");
    const answer = await this.#answer(url, body);
    if (response.destroyed) return;
    response.writeHead(answer.status, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    response.end(JSON.stringify(answer.body));
  }

  async #answer(url, body) {
    const told = (name) => url.searchParams.get(name) ?? "";
    switch (url.pathname) {
      case "/-/rows-get":
        return this.#get(told("table"), told("from"), told("to"));
      case "/-/rows-feed":
        return this.#feed(
          told("table"),
          Number(told("after")),
          Math.min(Number(told("waitMs")), 30_000),
        );
      case "/-/rows-tx":
        return this.#transact(JSON.parse(body));
      default:
        return { status: 404, body: {} };
    }
  }

  #stated(status, more) {
    const nowMs = Math.round(perfHooks.performance.now() - this.#startedAt);
    return { status, body: { ...more, ver: this.#version, nowMs } };
  }

  #get(table, from, to) {
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .filter((row) => to === "" || row.key < to)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return this.#stated(200, { rows, hasMore: false });
  }

  async #feed(table, after, waitMs) {
    const deadline = perfHooks.performance.now() + waitMs;
    for (;;) {
      if (after > this.#version || after < this.#forgottenUpTo) {
        return this.#stated(410, {});
      }
      const rows = this.#changes
        .map(({ row }) => row)
        .filter((row) => row.table === table && row.ver > after);
      const left = deadline - perfHooks.performance.now();
      if (rows.length > 0 || left <= 0) return this.#stated(200, { rows });
      await new Promise((resolve) => {
        const timer = setTimeout(wake, left);
        const wakers = this.#wakers;
        function wake() {
          clearTimeout(timer);
          wakers.delete(wake);
          resolve();
        }
        wakers.add(wake);
      });
    }
  }

  #transact({ precondition = [], put = [], remove = [] }) {
    const writes = [
      ...put,
      ...remove.map((row) => ({ ...row, removed: true })),
    ];
    if (writes.some(({ table }) => table === "op" || table === "servers")) {
      return { status: 403, body: {} };
    }
    const current = ({ table, key }) => this.#rows.get(`${table} ${key}`);
    if (precondition.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      const rows = precondition.map(
        (row) => current(row) ?? { ...row, ver: 0, removed: true },
      );
      return this.#stated(412, { rows });
    }
    this.#write(writes);
    return this.#stated(200, {});
  }

  #write(rows) {
    const ver = ++this.#version;
    const at = perfHooks.performance.now();
    for (const row of rows) {
      const written = { ...row, part: "", ver };
      const name = `${row.table} ${row.key}`;
      if (row.removed) this.#rows.delete(name);
      else this.#rows.set(name, written);
      this.#changes.push({ row: written, at });
    }
    while (this.#changes.length > 0 && at - this.#changes[0].at > HISTORY_MS) {
      this.#forgottenUpTo = this.#changes.shift().row.ver;
    }
    for (const wake of [...this.#wakers]) wake();
  }
}
