import * as net from "node:net";
import * as parseRequest from "./parse_request.mjs";

/* global Buffer, setTimeout, setInterval, clearInterval */

/** How often a runner writes its entry, as `heartbeatMs` of the settings says. */
const HEARTBEAT_MS = 1_200;

/**
 * A sound runner of a plain service: runs each request for a while and answers
 * it whole, with its stamp, on a connection that it then closes. `spoil` may
 * return other bytes to send in place of an answer.
 */
export class Runner {
  #server = net.createServer((socket) => this.#serve(socket));
  #heartbeat;
  #sequence = 0;
  #bornAt = Date.now();

  constructor({ id, service, slots, runMs, store, record, spoil }) {
    Object.assign(this, { id, service, slots, runMs, store, record });
    this.spoil = spoil ?? (() => undefined);
  }

  /** Listens, and registers in the store again and again. */
  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  /** Stops listening. */
  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
  }

  #register() {
    this.store.put("servers", this.id, {
      service: this.service,
      address: this.address,
      zone: "z1",
      version: "v1",
      slots: this.slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
      born: this.#bornAt,
    });
  }

  #serve(socket) {
    let received = Buffer.alloc(0);
    let taken = false;
    socket.on("error", () => {});
    socket.on("data", (piece) => {
      received = Buffer.concat([received, piece]);
      const request = taken ? undefined : parseRequest.parseRequest(received);
      if (!request) return;
      taken = true;
      this.#run(socket, request);
    });
  }

  #run(socket, { headers }) {
    const id = headers.get("geraniumkeel-request-id");
    const expected = headers.get("geraniumkeel-expect-instance");
    if (expected !== undefined && expected !== this.id) {
      socket.end(answerBytes(421, "Misdirected Request", id, [], ""));
      return;
    }
    this.record({ what: "run", id, runner: this.id });
    setTimeout(() => {
      if (socket.destroyed) return;
      const stamp = `Geraniumkeel-Response-Stamp: s.${this.id}.${id}`;
      const body = bodyOf(id);
      const sound = answerBytes(200, "OK", id, [stamp], body);
      const spoiled = this.spoil(sound);
      if (spoiled !== undefined) {
        this.record({ what: "spoil", id, runner: this.id });
      }
      socket.end(spoiled ?? sound);
    }, this.runMs());
  }
}

/** The body that a runner answers a request with. */
export function bodyOf(id) {
  return `${id} `.padEnd(800, "x");
}

function answerBytes(status, reason, id, more, body) {
  const head = [
    `HTTP/1.1 ${status} ${reason}`,
    `Geraniumkeel-Request-Id: ${id}`,
    ...more,
    `Content-Length: ${body.length}`,
    "Connection: close",
  ];
  return `${head.join("\r\n")}\r\n\r\n${body}`;
}
