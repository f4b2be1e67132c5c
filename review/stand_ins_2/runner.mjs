import * as crypto from "node:crypto";
import * as http from "node:http";

/* global Buffer, clearInterval, setInterval, setTimeout */

const HEARTBEAT_MILLISECONDS = 1_200;

/**
 * A runner: it registers itself in the store, runs requests that name it, and turns
 * all others away. With `weights`, the version of its weights, it also turns away
 * requests that expect another one. With `events` it answers by a stream.
 */
export class Runner {
  #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });
  #sequence = 0;
  #timer;
  #active = 0;
  /** Requests that it began to run: `{ at, request, method, path }`. */
  runs = [];
  /** Requests that it turned away for their version: `{ at, request }`. */
  turnedAway = [];
  /** Whether it is about to leave, and says so in its answers. */
  leaving = false;

  constructor(parameters) {
    this.parameters = { slots: 6, workMilliseconds: 60, ...parameters };
    this.id = `i-${crypto.randomBytes(4).toString("hex")}`;
  }

  /** Opens its listener and registers in the store. */
  async start() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, this.parameters.address, resolve);
    });
    this.#register();
    this.#timer = setInterval(() => this.#register(), HEARTBEAT_MILLISECONDS);
  }

  /**
   * Leaves without a report: its entry in the store is removed, and it goes on to
   * serve. Returns the moment of the store's acceptance.
   */
  unregister() {
    clearInterval(this.#timer);
    this.leaving = true;
    return this.parameters.store.remove("servers", this.id);
  }

  /** Ends. */
  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register() {
    const { store, service, address, zone, slots } = this.parameters;
    store.put("servers", this.id, {
      service,
      address: `${address}:${this.#server.address().port}`,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: ++this.#sequence,
    });
  }

  async #serve(request, response) {
    const pieces = [];
    try {
      for await (const piece of request) pieces.push(piece);
    } catch {
      return;
    }
    const { slots, workMilliseconds } = this.parameters;
    const { headers, method, url } = request;
    const identifier = headers["geraniumkeel-request-id"];
    const told = { "Geraniumkeel-Request-Id": identifier ?? "" };
    if (this.leaving) told["Server-Leaving"] = "1";
    const answer = (status, more, body = "") => {
      response.writeHead(status, { ...told, ...more });
      response.end(body);
    };
    const expected = headers["geraniumkeel-expect-instance"];
    if (expected !== undefined && expected !== this.id)
      return answer(421, { "Geraniumkeel-Instance-Id": this.id });
    const { weights, events } = this.parameters;
    if (weights !== undefined)
      told["Geraniumkeel-Weight-Versions"] = String(weights);
    const wanted = headers["geraniumkeel-expect-version"] ?? String(weights);
    if (weights !== undefined && wanted !== String(weights)) {
      this.turnedAway.push({ at: Date.now(), request: identifier });
      return answer(421, {
        "At-Server": this.id,
        "Geraniumkeel-Not-Executed": "1",
      });
    }
    if (this.#active >= 4 * slots)
      return answer(503, { "Geraniumkeel-Not-Executed": "1" });
    this.#active++;
    this.runs.push({ at: Date.now(), request: identifier, method, path: url });
    await new Promise((resolve) => {
      setTimeout(resolve, workMilliseconds);
    });
    this.#active--;
    if (events !== undefined) {
      told["Geraniumkeel-Response-Stamp"] = `${this.id}.${identifier}`;
      const after = Number(headers["last-event-id"] ?? 0);
      const left = Array.from({ length: events }, (_, index) => index + 1);
      const body = left
        .filter((number) => number > after)
        .map((number) => `id: ${number}\ndata: ${identifier}\n\n`);
      return answer(
        200,
        { "Content-Type": "text/event-stream" },
        body.join(""),
      );
    }
    const body = Buffer.from(`${identifier} ${"x".repeat(800)}`);
    answer(
      200,
      {
        "Geraniumkeel-Response-Stamp": `${this.id}.${identifier}`,
        "Geraniumkeel-Instance-Load": `${this.#active},0,${slots}`,
        "Content-Length": String(body.length),
      },
      body,
    );
  }
}
