import * as common from "@geraniumkeel/common";
import type * as engineModule from "@geraniumkeel/engine";
import * as wire from "@geraniumkeel/wire";
import type * as attemptTable from "./attempt_table.ts";

/** Time between looks at an engine that has nothing to do. */
const IDLE_MILLISECONDS = 1_000;
/** Reports a second that all links together may carry. */
const REPORTS_PER_SECOND = 50;
/**
 * Time after which step numbers and times alone are told: often enough that a
 * rank that steps is never taken for a stalled one.
 */
const TIMES_MILLISECONDS = 500;

/** Dispatches that came over one link. */
export interface LinkDispatches {
  received: number;
  /** How many of them the last report included. */
  reported: number;
}

/**
 * Pushes this runner's load to all entry links: exact counts of attempts, and
 * the engine's own lagging report. Nothing is sent while nothing changes.
 */
export class LoadReporter {
  #last: wire.RunnerLoad = wire.idleLoad();
  #cacheSequence = 0;
  #toldAt = -Infinity;

  constructor(
    readonly parameters: {
      table: attemptTable.AttemptTable;
      /** Dispatches that wait for room: for entries they take room too. */
      waiting: () => number;
      engine: engineModule.HttpEngine | undefined;
      links: ReadonlyMap<Pick<wire.Link, "send">, LinkDispatches>;
      periodMilliseconds: number;
      /** See `IDLE_MILLISECONDS`. */
      idleMilliseconds?: number;
    },
  ) {}

  /** Last load reported. */
  get last(): wire.RunnerLoad {
    return this.#last;
  }

  /** Reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { table, idleMilliseconds = IDLE_MILLISECONDS } = this.parameters;
    while (!signal.aborted) {
      await this.#report();
      await this.#reportCacheEvents();
      await common.sleep(this.#period(), signal);
      if (table.running.length > 0 || this.#last.sequences > 0) continue;
      // Attempts that began and ended since the report are still counted by
      // their entries: going to sleep on them, the runner seemed taken, and
      // requests waited for room that was there.
      if (this.#isBehind()) continue;
      // Nothing to count: a new attempt ends the pause.
      await table.changed.next(idleMilliseconds, signal);
    }
  }

  /** With many entries each hears less often; the sum stays bounded. */
  #period(): number {
    const { periodMilliseconds, links } = this.parameters;
    return Math.max(
      periodMilliseconds,
      (links.size * 1_000) / REPORTS_PER_SECOND,
    );
  }

  async #report(): Promise<void> {
    const { table, engine, links } = this.parameters;
    const report = await engine?.load();
    const base = report?.isOk() ? report.value : this.#last;
    const counts = countAttempts(table);
    const sequences = counts.sequences + this.parameters.waiting();
    const load: wire.RunnerLoad = { ...base, ...counts, sequences };
    if (!this.#worthTelling(load)) return;
    this.#last = load;
    this.#toldAt = common.now();
    const kind = wire.MessageKind.Load;
    const clock = common.now();
    for (const [link, dispatches] of links) {
      dispatches.reported = dispatches.received;
      link.send({ kind, load, clock, dispatches: dispatches.received });
    }
  }

  /** Whether attempts or dispatches were counted that no report includes. */
  #isBehind(): boolean {
    const { table, links } = this.parameters;
    const { started, finished } = this.#last;
    if (table.started !== started || table.finished !== finished) return true;
    return [...links.values()].some(
      ({ received, reported }) => received !== reported,
    );
  }

  /** Counts matter at once; times and steps, which always move, now and then. */
  #worthTelling(load: wire.RunnerLoad): boolean {
    const last = this.#last;
    const changed =
      load.waiting !== last.waiting || load.mapVersion !== last.mapVersion;
    if (changed || this.#isBehind()) return true;
    const age = common.now() - this.#toldAt;
    return load.sequences > 0 && age > TIMES_MILLISECONDS;
  }

  async #reportCacheEvents(): Promise<void> {
    const { engine, links } = this.parameters;
    if (!engine || links.size === 0) return;
    const events = await engine.cacheEvents(this.#cacheSequence);
    if (events.isErr() || events.value.length === 0) return;
    const changes = events.value.map((event): wire.CacheChange => {
      const gap = event.sequence !== this.#cacheSequence + 1;
      this.#cacheSequence = event.sequence;
      return { ...event, gap };
    });
    const kind = wire.MessageKind.CacheEvents;
    for (const link of links.keys()) link.send({ kind, changes });
  }
}

/** What the engine will only report later, counted here without lag. */
function countAttempts(
  table: attemptTable.AttemptTable,
): Pick<
  wire.RunnerLoad,
  "started" | "finished" | "sequences" | "cachedTokens" | "prefillTokens"
> {
  let cachedTokens = 0;
  let prefillTokens = 0;
  const { running, started, finished } = table;
  for (const record of running) {
    cachedTokens += record.promptTokens + record.produced;
    if (record.produced === 0) prefillTokens += record.promptTokens;
  }
  const sequences = running.length;
  return { started, finished, sequences, cachedTokens, prefillTokens };
}
