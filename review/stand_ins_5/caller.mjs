/* global Buffer, clearTimeout, setTimeout */
import * as http from "node:http";

/** Sends requests and notes what came back. */
export class Caller {
  #count = 0;
  /** Attempts: `request`, `entry`, `sentAt`, and `status` or `error` at the end. */
  attempts = [];

  constructor(log) {
    this.log = log;
  }

  /** Makes one attempt at an entry; resolves when it has come to its end. */
  ask({ entry, address, path, body = "", deadline = 4_000, agent = false }) {
    const request = `q-${++this.#count}`;
    const sentAt = this.log.note("sent", { request, entry, path });
    const attempt = { request, entry, sentAt };
    this.attempts.push(attempt);
    return new Promise((resolve) => {
      const settle = (outcome) => {
        if (attempt.endedAt !== undefined) return;
        clearTimeout(timer);
        attempt.endedAt = this.log.note("answered", { request, ...outcome });
        resolve(Object.assign(attempt, outcome));
      };
      const sent = http.request(optionsOf());
      const timer = setTimeout(() => {
        settle({ error: "deadline passed" });
        sent.destroy();
      }, deadline);
      sent.on("error", ({ message }) => settle({ error: message }));
      sent.on("response", (response) => collect(response, settle));
      sent.end(body);
    });

    function optionsOf() {
      const [host, port] = address.split(":");
      const headers = {
        Host: "h.example",
        "Api-Key": "key-1",
        "Geraniumkeel-Request-Id": request,
        "Geraniumkeel-Deadline-Ms": deadline,
        "Content-Length": Buffer.byteLength(body),
      };
      return { host, port, method: "POST", path, agent, headers };
    }
  }
}

function collect(response, settle) {
  const pieces = [];
  response.on("data", (piece) => pieces.push(piece));
  response.on("error", () => {});
  response.on("close", () => {
    if (!response.complete) return settle({ error: "answer cut off" });
    const { statusCode: status } = response;
    const answer = JSON.stringify(Buffer.concat(pieces).toString());
    return settle({ status, answer });
  });
}
