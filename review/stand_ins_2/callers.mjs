import * as crypto from "node:crypto";
import * as net from "node:net";
import * as entriesModule from "./entries.mjs";

/* global clearInterval, setInterval */

const RESOLVE_MILLISECONDS = 1_000;

/**
 * Callers that ask the entries where to connect, once a second, and send each
 * request on a new connection to one of the named addresses, drawn at random.
 * They repeat no request.
 */
export class Callers {
  #addresses = [];
  #timers = [];
  #open = new Set();
  /** One line for each request. */
  sent = [];

  constructor(parameters) {
    this.parameters = parameters;
  }

  /** Sends requests at a steady rate until `stop`. */
  async start(perSecond) {
    await this.#resolve();
    const resolve = () => void this.#resolve();
    this.#timers.push(setInterval(resolve, RESOLVE_MILLISECONDS));
    this.#timers.push(setInterval(() => this.#send(), 1_000 / perSecond));
  }

  /** Stops to send, and waits for the answers to what was sent. */
  async stop() {
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.#open);
  }

  async #resolve() {
    const { entries } = this.parameters;
    for (const host of entries.hosts) {
      const addresses = await entries.resolve(host);
      if (addresses.length === 0) continue;
      this.#addresses = addresses;
      return;
    }
  }

  #send() {
    const index = crypto.randomInt(Math.max(1, this.#addresses.length));
    const address = this.#addresses[index];
    if (address === undefined) return;
    const running = this.#exchange(address).finally(() => {
      this.#open.delete(running);
    });
    this.#open.add(running);
  }

  async #exchange(address) {
    const { method, path, deadlineMilliseconds, key } = this.parameters;
    const [host, port] = address.split(":");
    const request = crypto.randomBytes(8).toString("hex");
    const line = { request, to: host, sentAt: Date.now() };
    this.sent.push(line);
    const answer = await entriesModule.ask({
      host,
      port: Number(port),
      method,
      path,
      headers: {
        Host: "h.example",
        "Geraniumkeel-Request-Id": request,
        "Geraniumkeel-Deadline-Ms": String(deadlineMilliseconds),
        ...(key ? { "Api-Key": key } : {}),
      },
      timeoutMilliseconds: deadlineMilliseconds,
    });
    line.status = answer.status;
    line.milliseconds = Date.now() - line.sentAt;
    if (answer.error) line.error = answer.error;
  }
}

/** The first three numbers of loopback addresses on which nothing listens. */
export async function freeNetwork(ports) {
  for (let tries = 0; tries < 50; tries++) {
    const numbers = [crypto.randomInt(1, 250), crypto.randomInt(1, 250)];
    const network = `127.${numbers.join(".")}`;
    const free = await Promise.all(
      ports.map((port) => isFree(`${network}.1`, port)),
    );
    if (free.every(Boolean)) return network;
  }
  throw new Error("no free addresses");
}

function isFree(address, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}
