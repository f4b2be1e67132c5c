/* global Buffer, URL, clearTimeout, setTimeout, performance */
import * as http from "node:http";
import * as record from "./record.mjs";

/** Time that the store takes for an answer, in milliseconds. */
const ANSWER_MILLISECONDS = 4;
const MOST_ROWS = 500;
const LONGEST_WAIT_MILLISECONDS = 30_000;

/**
 * The platform's metadata store: rows with conditions, and a feed of changes. Each
 * machine calls it at a port of its own, so that its calls can be told apart.
 */
export class Store {
  #rows = new Map();
  #version = 0;
  #changes = [];
  #waiting = new Set();
  #servers = [];
  /** Calls of the machines: `machine`, `table`, `at`. */
  #calls = [];

  /** Opens a port for a machine; the address to call. */
  async addressFor(machine) {
    const server = http.createServer((request, response) => {
      void this.#serve(machine, request, response);
    });
    await new Promise((done) => server.listen(0, "127.0.0.1", done));
    this.#servers.push(server);
    return `127.0.0.1:${server.address().port}`;
  }

  /** Machines that asked for changes of a table in the last milliseconds. */
  readersOf(table, milliseconds) {
    const since = performance.now() - milliseconds;
    const recent = this.#calls.filter(
      (call) => call.table === table && call.at > since,
    );
    return [...new Set(recent.map(({ machine }) => machine))];
  }

  /** The operator or a runner writes a row; the write is acknowledged at once. */
  put(table, key, value) {
    const bytes = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write([{ table, part: "", key, value: bytes }]);
  }

  /** The platform removes a row; the removal is acknowledged at once. */
  remove(table, key) {
    this.#write([{ table, part: "", key, removed: true }]);
  }

  /** Ends all connections. */
  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  async #serve(machine, request, response) {
    response.on("error", () => {});
    const pieces = [];
    try {
      for await (const piece of request) pieces.push(piece);
    } catch {
      return;
    }
    const url = new URL(request.url, "http://store");
    const table = url.searchParams.get("table");
    this.#calls.push({ machine, table, at: performance.now() });
    await record.sleep(ANSWER_MILLISECONDS);
    const body = Buffer.concat(pieces).toString();
    const answer = await this.#answer(url, body);
    if (response.destroyed) return;
    response.writeHead(answer.status, { "Content-Type": "application/json" });
    const nowMs = Math.round(performance.now());
    response.end(JSON.stringify({ ...answer.body, nowMs }));
  }

  async #answer({ pathname, searchParams }, body) {
    const told = (name) => searchParams.get(name) ?? "";
    switch (pathname) {
      case "/-/rows-get":
        return this.#get(told("table"), told("from"), told("to"));
      case "/-/rows-feed":
        return this.#feed(
          told("table"),
          Number(told("after")),
          Number(told("waitMs")),
        );
      case "/-/rows-tx":
        return this.#transact(JSON.parse(body));
      default:
        return { status: 404, body: {} };
    }
  }

  #get(table, from, to) {
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .filter(({ key }) => to === "" || key < to)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const hasMore = rows.length > MOST_ROWS;
    const page = rows.slice(0, MOST_ROWS);
    return { status: 200, body: { rows: page, ver: this.#version, hasMore } };
  }

  async #feed(table, after, waitMilliseconds) {
    const news = () =>
      this.#changes.filter((row) => row.table === table && row.ver > after);
    const wait = Math.min(waitMilliseconds, LONGEST_WAIT_MILLISECONDS);
    const until = performance.now() + wait;
    while (news().length === 0 && performance.now() < until) {
      await this.#change(until - performance.now());
    }
    return { status: 200, body: { rows: news(), ver: this.#version } };
  }

  /** Resolves at the next change, or when the time is over. */
  #change(milliseconds) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.#waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #transact({ precondition = [], put = [], remove = [] }) {
    const current = ({ table, key }) => this.#rows.get(`${table} ${key}`);
    const holds = precondition.every(
      (row) => (current(row)?.ver ?? 0) === row.ver,
    );
    if (!holds) {
      const rows = precondition.flatMap((row) => current(row) ?? []);
      return { status: 412, body: { rows } };
    }
    const removed = remove.map((row) => ({ ...row, removed: true }));
    this.#write([...put, ...removed]);
    return { status: 200, body: { ver: this.#version } };
  }

  /** One transaction. */
  #write(rows) {
    const ver = ++this.#version;
    for (const row of rows) {
      const written = { ...row, ver };
      const name = `${row.table} ${row.key}`;
      if (row.removed) this.#rows.delete(name);
      else this.#rows.set(name, written);
      this.#changes.push(written);
    }
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
  }
}
