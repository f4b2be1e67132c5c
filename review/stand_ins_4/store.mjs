/**
 * Stand-in of the platform's store: rows with versions, reads, a feed of
 * changes and transactions, as the pages tell them. Runs in the test's process.
 */
import * as http from "node:http";
/* global Buffer, URL, clearTimeout, setTimeout */

const HISTORY_ROWS = 20_000;
const TRANSACTION_MS = 8;
const READ_MS = 4;

/** The rows, and the listeners at which they are asked for. */
export class Store {
  #rows = new Map();
  #version = 0;
  #changes = [];
  #waiting = new Set();
  #servers = [];

  /** Opens one more listener on the same rows; resolves to its address. */
  async listen() {
    const server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#servers.push(server);
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${server.address().port}`;
  }

  /** Closes all listeners and connections. */
  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** The operator or a runner writes a row. */
  put(table, key, value) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#write([{ table, key, value: Buffer.from(text).toString("base64") }]);
  }

  /** The operator or a runner removes a row. */
  remove(table, key) {
    this.#write([{ table, key, removed: true }]);
  }

  async #serve(request, response) {
    let body = "";
    for await (const piece of request) body += piece;
    const url = new URL(request.url, "http://store");
    const { status, value } = await this.#answer(url, body);
    if (response.destroyed) return;
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(value));
  }

  async #answer(url, body) {
    const told = (name) => url.searchParams.get(name) ?? "";
    switch (url.pathname) {
      case "/-/rows-get": {
        await pause(READ_MS);
        const [from, to] = [told("from"), told("to")];
        const limit = Math.min(Number(told("limit")) || 500, 500);
        const found = [...this.#rows.values()]
          .filter(({ table, key }) => table === told("table") && key >= from)
          .filter(({ key }) => to === "" || key < to)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        const rows = found.slice(0, limit);
        const hasMore = found.length > limit;
        return this.#ok({ rows, hasMore });
      }
      case "/-/rows-feed":
        return this.#feed(
          told("table"),
          Number(told("after")),
          Number(told("waitMs")),
        );
      case "/-/rows-tx":
        await pause(TRANSACTION_MS);
        return this.#transact(JSON.parse(body));
      default:
        return { status: 404, value: {} };
    }
  }

  #ok(value) {
    return { status: 200, value: { ...value, ver: this.#version } };
  }

  async #feed(table, after, waitMs) {
    const news = () =>
      this.#changes.filter((row) => row.table === table && row.ver > after);
    const [oldest] = this.#changes;
    if (oldest && this.#changes.length >= HISTORY_ROWS && after < oldest.ver)
      return { status: 410, value: {} };
    if (news().length === 0) {
      await new Promise((resolve) => {
        const waiter = { table, resolve };
        const timer = setTimeout(resolve, waitMs);
        waiter.done = () => clearTimeout(timer);
        this.#waiting.add(waiter);
        setTimeout(() => this.#waiting.delete(waiter), waitMs);
      });
    }
    return this.#ok({ rows: news() });
  }

  #transact({ precondition = [], put = [], remove = [] }) {
    const entries = [...put, ...remove];
    if (entries.some(({ table }) => table === "op" || table === "servers"))
      return { status: 403, value: {} };
    const current = (row) => this.#rows.get(nameOf(row));
    if (precondition.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      const rows = precondition.flatMap((row) => current(row) ?? []);
      return { status: 412, value: { rows, ver: this.#version } };
    }
    this.#write([...put, ...remove.map((row) => ({ ...row, removed: true }))]);
    return this.#ok({});
  }

  #write(rows) {
    const ver = ++this.#version;
    for (const row of rows) {
      const written = { ...row, part: "", ver };
      if (row.removed) this.#rows.delete(nameOf(row));
      else this.#rows.set(nameOf(row), written);
      this.#changes.push(written);
    }
    if (this.#changes.length > HISTORY_ROWS) this.#changes.shift();
    for (const waiter of this.#waiting) {
      if (!rows.some(({ table }) => table === waiter.table)) continue;
      this.#waiting.delete(waiter);
      waiter.done();
      waiter.resolve();
    }
  }
}

function nameOf({ table, key }) {
  return `${table} ${key}`;
}

function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
