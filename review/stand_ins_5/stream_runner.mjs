/* global clearInterval, setInterval */
import * as net from "node:net";
import * as record from "./record.mjs";

/** Time between two writes of a runner's entry, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 1_200;
const EVENT_INTERVAL_MILLISECONDS = 100;

/**
 * A runner whose answers are streams of numbered events that have no length and end
 * with their connection. The last part of a request's path says how many events its
 * stream has; `Last-Event-Id` says after which it goes on.
 */
export class StreamRunner {
  #heartbeat;
  #sequence = 0;
  #state = "ready";
  #sockets = new Set();
  #server = net.createServer((socket) => this.#serve(socket));

  constructor({ store, log, identifier, service }) {
    this.store = store;
    this.log = log;
    this.identifier = identifier;
    this.service = service;
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

  /** Reports that it is about to leave; it goes on serving until `exit`. */
  drain() {
    this.#state = "draining";
    this.#register();
  }

  /** Its process ends; the system closes its connections in order. */
  exit() {
    clearInterval(this.#heartbeat);
    this.store.remove("servers", this.identifier);
    this.#server.close();
    for (const socket of this.#sockets) socket.end();
    this.#sockets.clear();
  }

  #register() {
    this.store.put("servers", this.identifier, {
      service: this.service,
      address: `127.0.0.1:${this.#server.address().port}`,
      zone: "heredia",
      version: "v1",
      slots: 8,
      state: this.#state,
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
    });
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => this.#sockets.delete(socket));
    let head = "";
    socket.on("data", (bytes) => {
      if (head.includes("\r\n\r\n")) return;
      head += bytes.toString("latin1");
      if (head.includes("\r\n\r\n")) void this.#answer(socket, head);
    });
  }

  async #answer(socket, head) {
    const told = (name) =>
      new RegExp(`^${name}: *(.*?)\\r$`, "im").exec(head)?.[1];
    const request = told("geraniumkeel-request-id");
    const echo = `Geraniumkeel-Request-Id: ${request}\r\n`;
    if (told("geraniumkeel-expect-instance") !== this.identifier) {
      socket.end(`HTTP/1.1 421 Misdirected Request\r\n${echo}\r\n`);
      return;
    }
    const count = Number(/^\S+ \S*\/(\d+) /.exec(head)[1]);
    const first = Number(told("last-event-id") ?? 0) + 1;
    const fields = { request, runner: this.identifier };
    this.log.note("run", { ...fields, from: first, to: count });
    const signature = `Geraniumkeel-Response-Stamp: s.${request}\r\n`;
    const type = "Content-Type: text/event-stream\r\n";
    socket.write(`HTTP/1.1 200 OK\r\n${echo}${signature}${type}\r\n`);
    for (let event = first; event <= count; event++) {
      await record.sleep(EVENT_INTERVAL_MILLISECONDS);
      if (!this.#sockets.has(socket)) {
        this.log.note("cut off in its run", { ...fields, before: event });
        return;
      }
      socket.write(`id: ${event}\ndata: ${event} of ${count}\n\n`);
    }
    this.log.note("run ended", fields);
    socket.end();
  }
}
