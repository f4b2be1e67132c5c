/* global Buffer, URL, clearInterval, clearTimeout, setInterval, setTimeout */
// Stand-ins for a script: the platform's store, runners as processes, callers.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

export const ROOT = path.resolve(import.meta.dirname, "../..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  rows = new Map();
  version = 0;
  changes = [];
  waiting = new Set();
  /** Called with method and path; returns "silent", a status, or nothing. */
  trouble = () => undefined;
  server = http.createServer((request, response) =>
    this.#serve(request, response),
  );

  /** Listens on a free port. */
  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** The operator or a runner writes a row; returns its version. */
  put(table, key, value) {
    this.write([
      {
        table,
        part: "",
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
      },
    ]);
    return this.version;
  }

  /** The operator or a runner removes a row. */
  remove(table, key) {
    this.write([{ table, part: "", key, removed: true }]);
  }

  /** One transaction. */
  write(rows) {
    const ver = ++this.version;
    for (const row of rows) {
      const name = JSON.stringify([row.table, row.part ?? "", row.key]);
      const written = { ...row, part: row.part ?? "", ver };
      if (row.removed) this.rows.delete(name);
      else this.rows.set(name, written);
      this.changes.push(written);
    }
    for (const wake of [...this.waiting]) wake();
  }

  async #serve(request, response) {
    const pieces = [];
    for await (const piece of request) pieces.push(piece);
    const url = new URL(request.url, "http://store");
    const trouble = this.trouble(request, url);
    if (trouble === "silent") return;
    if (typeof trouble === "number")
      return void response.writeHead(trouble).end("{}");
    await sleep(4);
    const { status, body } = await this.#answer(
      url,
      Buffer.concat(pieces).toString(),
    );
    if (!response.destroyed)
      response
        .writeHead(status, { "Content-Type": "application/json" })
        .end(JSON.stringify(body));
  }

  async #answer(url, text) {
    const told = (name) => url.searchParams.get(name) ?? "";
    switch (url.pathname) {
      case "/-/rows-get": {
        const limit = Math.min(500, Number(told("limit")) || 500);
        const [from, to] = [told("from"), told("to")];
        const all = [...this.rows.values()]
          .filter(
            (row) => row.table === told("table") && row.part === told("part"),
          )
          .filter((row) => row.key >= from && (to === "" || row.key < to))
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return {
          status: 200,
          body: {
            rows: all.slice(0, limit),
            hasMore: all.length > limit,
            ver: this.version,
            nowMs: Date.now(),
          },
        };
      }
      case "/-/rows-feed": {
        const after = Number(told("after"));
        const news = () =>
          this.changes.filter(
            (row) => row.table === told("table") && row.ver > after,
          );
        const until =
          Date.now() + Math.min(30_000, Number(told("waitMs")) || 0);
        while (news().length === 0 && Date.now() < until) {
          await new Promise((resolve) => {
            const wake = () => {
              this.waiting.delete(wake);
              resolve();
            };
            this.waiting.add(wake);
            setTimeout(wake, until - Date.now());
          });
        }
        return {
          status: 200,
          body: { rows: news(), ver: this.version, nowMs: Date.now() },
        };
      }
      case "/-/rows-tx": {
        const { precondition = [], put = [], remove = [] } = JSON.parse(text);
        const current = (row) =>
          this.rows.get(JSON.stringify([row.table, row.part ?? "", row.key]));
        if (
          [...put, ...remove].some(
            ({ table }) => table === "op" || table === "servers",
          )
        )
          return { status: 403, body: {} };
        if (
          !precondition.every((row) => (current(row)?.ver ?? 0) === row.ver)
        ) {
          const rows = precondition.flatMap((row) => current(row) ?? []);
          return {
            status: 412,
            body: { rows, ver: this.version, nowMs: Date.now() },
          };
        }
        this.write([
          ...put,
          ...remove.map((row) => ({ ...row, removed: true })),
        ]);
        return { status: 200, body: { ver: this.version, nowMs: Date.now() } };
      }
      default:
        return { status: 404, body: {} };
    }
  }
}

/** Fills a template of settings with the fields of DEPLOY.md. */
function fill(template, fields) {
  const at = (name) =>
    name.split(".").reduce((value, key) => value?.[key], fields);
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) =>
    json ? JSON.stringify(at(name) ?? null) : String(at(name) ?? ""),
  );
}

/** A store, entries and runners on loopback addresses. */
export class Deployment {
  store = new Store();
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  children = new Map();
  beats = [];
  record = [];
  startedAt = Date.now();
  // Random loopback network, so that two runs do not meet.
  network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`;
  ports = ((base) => [0, 1, 2, 3, 4].map((n) => base + n))(
    12_000 + Math.floor(Math.random() * 1_700) * 10,
  );

  constructor() {
    if (!fs.existsSync(path.join(ROOT, "target/launch.mjs")))
      throw new Error("build the program first");
    process.once("exit", () => this.#kill());
    for (const signal of ["SIGINT", "SIGTERM"])
      process.once(signal, () => process.exit(2));
  }

  #kill() {
    for (const child of this.children.values()) {
      if (child.exitCode === null && child.signalCode === null)
        child.kill("SIGKILL");
    }
  }

  /** Adds a line to the record. */
  note(what, fields = {}) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    const rest = Object.entries(fields).map(
      ([key, value]) => `${key}=${JSON.stringify(value)}`,
    );
    this.record.push([at, what, ...rest].join(" "));
  }

  /** Writes the record to a file. */
  writeRecord(file) {
    fs.writeFileSync(file, `${this.record.join("\n")}\n`);
  }

  /** Starts a process; its output goes to a file of the temporary folder. */
  spawn(name, command, options = {}) {
    const log = fs.openSync(path.join(this.folder, `${name}.log`), "a");
    const child = childProcess.spawn(command[0], command.slice(1), {
      cwd: ROOT,
      stdio: ["ignore", log, log, ...(options.ipc ? ["ipc"] : [])],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ...options.env },
    });
    fs.closeSync(log);
    child.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => resolve({ code, signal })),
    );
    this.children.set(name, child);
    return child;
  }

  /** Loopback address of an entry. */
  entryAddress(n) {
    return `${this.network}.${n + 1}`;
  }

  /** Starts an entry with the command of the deploy file. */
  startEntry(n, { zone = "zone-a", bounds = {} } = {}) {
    const ip = this.entryAddress(n);
    const [frontend, ready, directory, control, link] = this.ports;
    const fields = {
      nodeName: `edge-${n}`,
      role: "entry",
      ip,
      zone,
      listen: {
        frontend: `${ip}:${frontend}`,
        ready: `${ip}:${ready}`,
        directory: `${ip}:${directory}`,
        controlPlane: `${ip}:${control}`,
      },
      internalPorts: [link, link + 5],
      seedNodes: [0, 1, 2].map((m) => `${this.entryAddress(m)}:${control}`),
      platform: { address: this.store.address },
      bounds: {
        graceS: 8,
        revokeMs: 5000,
        retryBudgetRatio: 0.2,
        retryBudgetSlack: 92,
        ...bounds,
      },
    };
    const template = fs.readFileSync(
      path.join(ROOT, "platform/settings/entry.template"),
      "utf8",
    );
    const file = path.join(this.folder, `edge-${n}.yaml`);
    fs.writeFileSync(file, fill(template, fields));
    return this.spawn(
      `edge-${n}`,
      ["node", "--max-old-space-size=150", "target/launch.mjs"],
      { env: { GERANIUMKEEL_SETTINGS: file } },
    );
  }

  /** Resolves when an entry answers its readiness check with 200. */
  async ready(n, seconds = 20) {
    const until = Date.now() + seconds * 1000;
    while (Date.now() < until) {
      const answer = await ask({
        host: this.entryAddress(n),
        port: this.ports[1],
        path: "/-/readyz",
        method: "GET",
        timeout: 500,
      });
      if (answer.status === 200) return;
      await sleep(50);
    }
    throw new Error(`edge-${n} is not ready`);
  }

  /** Starts a runner as a process of its own; resolves when it listens. */
  async startRunner(
    id,
    script,
    {
      service = "s",
      zone = "zone-a",
      slots = 8,
      args = [],
      register = true,
    } = {},
  ) {
    const child = this.spawn(id, ["node", script, id, ...args], { ipc: true });
    const port = await new Promise((resolve, reject) => {
      child.once("message", ({ port }) => resolve(port));
      child.once("exit", () => reject(new Error(`${id} ended`)));
    });
    child.on(
      "message",
      ({ event, ...fields }) =>
        event && this.note(event, { runner: id, ...fields }),
    );
    const row = {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      born: Date.now(),
    };
    const runner = { id, child, row, port, beating: register };
    child.once("exit", () => (runner.beating = false));
    if (register) this.store.put("servers", id, row);
    // A row each heartbeat, as long as the runner lives.
    runner.timer = setInterval(() => {
      if (!runner.beating) return;
      runner.row.sequence++;
      this.store.put("servers", id, runner.row);
    }, 1200);
    this.beats.push(runner.timer);
    return runner;
  }

  /** Writes a runner's row with another state. */
  setState(runner, state) {
    runner.row.state = state;
    runner.row.sequence++;
    this.store.put("servers", runner.id, runner.row);
  }

  /** Ends all processes. */
  async close() {
    for (const timer of this.beats) clearInterval(timer);
    this.#kill();
    await Promise.all([...this.children.values()].map((child) => child.exited));
    this.store.server.close();
    this.store.server.closeAllConnections();
    if (!process.env.KEEP) fs.rmSync(this.folder, { recursive: true });
  }
}

/** One request on a connection of its own, read by the bytes. */
export function ask({
  host,
  port,
  method = "POST",
  path: target,
  headers = {},
  body = "",
  timeout = 10_000,
}) {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const pieces = [];
    let broken;
    const timer = setTimeout(() => {
      broken = "no answer in time";
      socket.destroy();
    }, timeout);
    socket.once("connect", () => {
      const lines = [
        `${method} ${target} HTTP/1.1`,
        ...Object.entries({
          Host: "h.example",
          ...headers,
          Connection: "close",
        }).map(([k, v]) => `${k}: ${v}`),
      ];
      if (method !== "GET" || body)
        lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
      socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
    });
    socket.on("data", (piece) => pieces.push(piece));
    socket.on("error", (cause) => (broken ??= cause.code));
    socket.once("close", () => {
      clearTimeout(timer);
      resolve(parse(Buffer.concat(pieces), broken));
    });
  });
}

/** Reads an answer; `whole` tells whether it is complete as HTTP. */
function parse(bytes, broken) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0)
    return {
      status: 0,
      headers: {},
      body: Buffer.alloc(0),
      whole: false,
      broken: broken ?? "closed without an answer",
    };
  const [first, ...lines] = bytes
    .subarray(0, end)
    .toString("latin1")
    .split("\r\n");
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(":")).toLowerCase(),
      line.slice(line.indexOf(":") + 1).trim(),
    ]),
  );
  const rest = bytes.subarray(end + 4);
  const status = Number(first.split(" ")[1]);
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    return {
      status,
      headers,
      body: rest.subarray(0, length),
      whole: rest.length >= length,
      broken,
    };
  }
  if (!/chunked/i.test(headers["transfer-encoding"] ?? ""))
    return { status, headers, body: rest, whole: !broken, broken };
  const body = [];
  let at = 0;
  for (;;) {
    const line = rest.indexOf("\r\n", at);
    if (line < 0)
      return {
        status,
        headers,
        body: Buffer.concat(body),
        whole: false,
        broken,
      };
    const size = parseInt(rest.subarray(at, line).toString(), 16);
    if (size === 0)
      return {
        status,
        headers,
        body: Buffer.concat(body),
        whole: true,
        broken,
      };
    body.push(rest.subarray(line + 2, line + 2 + size));
    if (rest.length < line + 4 + size)
      return {
        status,
        headers,
        body: Buffer.concat(body),
        whole: false,
        broken,
      };
    at = line + 4 + size;
  }
}

/** A configuration of the operator with three routes to one service. */
export function configuration(version, changes = {}) {
  const route = {
    host: "h.example",
    timeoutMs: 8000,
    targetLatencyMs: 400,
    targetGapMs: 120,
    priority: 1,
    maxAttempts: 2,
    service: "s",
  };
  return {
    version,
    routes: [
      { ...route, name: "safe", prefix: "/safe/", kind: "safe" },
      {
        ...route,
        name: "unsafe",
        prefix: "/unsafe/",
        kind: "unsafe",
        maxAttempts: 1,
      },
      {
        ...route,
        name: "stream",
        prefix: "/stream/",
        kind: "stream",
        resumable: true,
      },
    ],
    services: [{ name: "s" }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: "t1", apiKeys: ["key-1"] }],
    ...changes,
  };
}
