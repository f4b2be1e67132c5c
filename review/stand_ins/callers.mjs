import * as http from "node:http";
import * as perfHooks from "node:perf_hooks";

/* global Buffer, setTimeout, clearTimeout */

let identifiers = 0;

/**
 * A sound client with connections that it keeps: it sends a request and waits
 * for its answer until its deadline. Resolves to what it saw.
 */
export class Caller {
  #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  #used = new WeakSet();

  constructor(record) {
    this.record = record;
  }

  /** Ends its connections. */
  close() {
    this.#agent.destroy();
  }

  /** Sends one request; never rejects. */
  send({ entry, to, path, headers = {}, deadlineMs }) {
    const id = `q-${++identifiers}`;
    const seen = {
      id,
      entry,
      path,
      sentAt: perfHooks.performance.now(),
      kept: false,
      status: 0,
      body: "",
      end: "",
      endedAt: 0,
    };
    return new Promise((resolve) => {
      const finish = (end) => {
        if (seen.end !== "") return;
        clearTimeout(leaving);
        seen.end = end;
        seen.endedAt = perfHooks.performance.now();
        const { kept, status } = seen;
        const ms = Math.round(seen.endedAt - seen.sentAt);
        this.record({ what: "end", id, entry, kept, status, end, ms });
        resolve(seen);
      };
      const request = http.request({
        ...to,
        agent: this.#agent,
        method: "POST",
        path,
        headers: {
          Host: "h.example",
          "Geraniumkeel-Request-Id": id,
          "Geraniumkeel-Deadline-Ms": String(deadlineMs),
          "Content-Length": "1",
          ...headers,
        },
      });
      const leaving = setTimeout(() => {
        finish("deadline");
        request.destroy();
      }, deadlineMs);
      request.once("socket", (socket) => {
        seen.kept = this.#used.has(socket);
        this.#used.add(socket);
      });
      request.on("error", (cause) => finish(`no answer (${cause.code})`));
      request.once("response", async (response) => {
        seen.status = response.statusCode;
        seen.stamp = response.headers["geraniumkeel-response-stamp"];
        const pieces = [];
        try {
          for await (const piece of response) pieces.push(piece);
          seen.body = Buffer.concat(pieces).toString();
          finish("answer");
        } catch {
          finish("answer cut");
        }
      });
      this.record({ what: "send", id, entry, path });
      request.end("x");
    });
  }
}
