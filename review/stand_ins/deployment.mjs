import * as perfHooks from "node:perf_hooks";
import * as callersModule from "./callers.mjs";
import * as configurationModule from "./configuration.mjs";
import * as entriesModule from "./entries.mjs";
import * as processes from "./processes.mjs";
import * as recordModule from "./record.mjs";
import * as runnersModule from "./runners.mjs";
import * as storeModule from "./store.mjs";

/* global setTimeout */

/** `stableWindowMs`: a machine is in touch after so long without disruption. */
export const STABLE_MS = 3_000;
/** A process that exits is started again after a short delay. */
const RESTART_MS = 500;
/** Last lines of a log that go into the record. */
const LOG_LINES = 12;
const SLOTS = 6;
const SHORTEST_RUN_MS = 150;
const LONGEST_RUN_MS = 450;

/** A small deployment: a store, runners of one plain service, and entries. */
export class Deployment {
  store = new storeModule.Store();
  entries = new entriesModule.Entries();
  runners = [];
  /** What clients saw of each request. */
  seen = [];
  /** Runners that ran each request, by its identifier. */
  runs = new Map();
  #callers = [];
  #version = 0;

  constructor(folder) {
    this.record = new recordModule.Record(folder);
  }

  /**
   * Starts all. `spoil` may return other bytes that a runner sends in place of
   * a sound answer.
   */
  async start({ entryCount, runnerCount, routes, more, spoil }) {
    const address = await this.store.listen();
    for (let number = 1; number <= runnerCount; number++) {
      const id = `i-${number}`;
      const runner = new runnersModule.Runner({
        id,
        service: "desk",
        slots: SLOTS,
        runMs: () =>
          SHORTEST_RUN_MS + Math.random() * (LONGEST_RUN_MS - SHORTEST_RUN_MS),
        store: this.store,
        record: (event) => this.#noteRun(event),
        spoil: (sound) => spoil?.(id, sound),
      });
      await runner.start();
      this.runners.push(runner);
    }
    this.configure(routes, more);
    this.entries.onOwnEnd = (index, code, signal) => {
      this.record.note({ what: "ended", entry: index, code, signal });
      for (const line of this.entries.lines(index).slice(-LOG_LINES)) {
        this.record.note({ what: "log", line });
      }
      setTimeout(() => this.entries.startOne(index), RESTART_MS);
    };
    await this.entries.start(entryCount, address);
  }

  /** The operator writes a configuration; the store has acknowledged it then. */
  configure(routes, more) {
    const version = ++this.#version;
    const document = configurationModule.configuration(
      version,
      routes,
      ["desk"],
      more,
    );
    this.store.put("op", "config", document);
    this.record.note({ what: "config", version, acknowledged: true });
    return perfHooks.performance.now();
  }

  /** A client that sends requests to one entry, one after the other. */
  async call({ entry, until, pauseMs, request }) {
    const caller = new callersModule.Caller(this.record.note);
    this.#callers.push(caller);
    const to = this.entries.callersOf(entry);
    while (perfHooks.performance.now() < until) {
      const sent = await caller.send({ entry, to, ...request });
      this.seen.push(sent);
      if (sent.end !== "answer") await processes.sleep(RESTART_MS);
      await processes.sleep(pauseMs * (0.5 + Math.random()));
    }
  }

  /** Ends all processes and writes the record. */
  async close() {
    for (const caller of this.#callers) caller.close();
    for (const runner of this.runners) runner.close();
    await this.entries.close();
    this.store.close();
    this.record.write();
  }

  #noteRun(event) {
    this.record.note(event);
    if (event.what !== "run") return;
    this.runs.set(event.id, [...(this.runs.get(event.id) ?? []), event.runner]);
  }
}

/**
 * Plays a case in a folder and ends the process: with 1 if the rule was broken,
 * with 0 if it held, and with 2 if the case couldn't run.
 */
export async function playCase(folder, play) {
  const deployment = new Deployment(folder);
  let code = 2;
  try {
    code = await play(deployment);
  } catch (cause) {
    deployment.record.tell(`could not run: ${cause.stack}`);
  }
  await deployment.close();
  process.exit(code);
}
