/* global Buffer, clearInterval, setInterval */
import * as http from "node:http";
import * as record from "./record.mjs";

/** Time between two writes of a runner's entry, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 1_200;
const STATUS_MISDIRECTED = 421;

/**
 * A runner of a plain service. It registers itself in the store, answers 421 to
 * requests that expect another runner, and notes each request that it runs.
 */
export class PlainRunner {
  #heartbeat;
  #sequence = 0;
  #sockets = new Set();
  #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });
  /** Requests that it ran: `request`, `at`, and `endedAt` if it came to an end. */
  runs = [];

  /**
   * `answer` gives the answer to a request after its work, as `status`, `headers`
   * and `body`.
   */
  constructor({ store, log, identifier, service, workMilliseconds, answer }) {
    this.store = store;
    this.log = log;
    this.identifier = identifier;
    this.service = service;
    this.workMilliseconds = workMilliseconds ?? 60;
    this.answer = answer ?? ((request) => ({ body: `answer to ${request}` }));
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** Listens and registers. */
  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.#register();
    this.#heartbeat = setInterval(
      () => this.#register(),
      HEARTBEAT_MILLISECONDS,
    );
    return this;
  }

  /** Its entry is removed without a word; it goes on serving until `exit`. */
  leave() {
    clearInterval(this.#heartbeat);
    this.store.remove("servers", this.identifier);
  }

  /** Its process ends, and with it all connections. */
  exit() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #register() {
    this.store.put("servers", this.identifier, {
      service: this.service,
      address: `127.0.0.1:${this.#server.address().port}`,
      zone: "heredia",
      version: "v1",
      slots: 6,
      state: "ready",
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
    });
  }

  async #serve(request, response) {
    response.on("error", () => {});
    const identifier = request.headers["geraniumkeel-request-id"];
    const pieces = [];
    try {
      for await (const piece of request) pieces.push(piece);
    } catch {
      return;
    }
    const echo = { "Geraniumkeel-Request-Id": identifier };
    if (request.headers["geraniumkeel-expect-instance"] !== this.identifier) {
      response.writeHead(STATUS_MISDIRECTED, echo).end();
      return;
    }
    const fields = { request: identifier, runner: this.identifier };
    const run = { request: identifier, at: this.log.note("run", fields) };
    this.runs.push(run);
    await record.sleep(this.workMilliseconds);
    if (response.destroyed) {
      this.log.note("cut off in its run", fields);
      return;
    }
    const { status = 200, headers = {}, body } = this.answer(identifier);
    run.endedAt = this.log.note("run ended", { ...fields, status });
    const signature = { "Geraniumkeel-Response-Stamp": `s.${identifier}` };
    const length = { "Content-Length": Buffer.byteLength(body) };
    const head = { ...echo, ...signature, ...headers, ...length };
    response.writeHead(status, head).end(body);
  }
}
