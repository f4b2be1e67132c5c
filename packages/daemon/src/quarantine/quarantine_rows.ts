import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as suspectLedger from "./suspect_ledger.ts";

const KEY_PREFIX = "quarantine/";
/** First key behind all keys with the prefix. */
const KEY_RANGE_END = "quarantine0";
/** Rows read at once; no more requests are held. */
const MAX_ROWS = 1_000;
const FIRST_PAUSE_MILLISECONDS = 100;
const MAX_PAUSE_MILLISECONDS = 5_000;
/** Time for which a write is tried again. */
const WRITE_TIMEOUT_MILLISECONDS = 60_000;

/** A runner's end in a row: times of day, as no monotonic clock outlives its process. */
interface StoredCrash {
  life: string;
  runner: string;
  service: string;
  version: string;
  endedAt: number;
  /** Milliseconds from the run's start to the end. */
  ranFor: number;
  seenBy: string[];
}

/** What keeping held requests in the table service needs. */
export interface QuarantineRowsParameters {
  table: backingServices.TableService;
  random: common.Random;
  logger: common.Logger;
}

/**
 * Held requests in the platform's table service, a row each. Entries tell each other
 * all else, but when all of them lose power at once none is left who knows, and the
 * same request would take as many runners along again.
 */
export class QuarantineRows {
  /** By key, what is still to be written; a task is at each. */
  readonly #pending = new Map<string, backingServices.Write>();

  constructor(readonly parameters: QuarantineRowsParameters) {}

  /** Writes what speaks against a request. */
  async store(
    fingerprint: string,
    reports: suspectLedger.CrashReport[],
    signal: AbortSignal,
  ): Promise<void> {
    const value = JSON.stringify(reports.flatMap(toStored));
    await this.#write(
      backingServices.putRow(KEY_PREFIX + fingerprint, value),
      signal,
    );
  }

  /** Removes a request that is held no more. */
  async remove(fingerprint: string, signal: AbortSignal): Promise<void> {
    const key = KEY_PREFIX + fingerprint;
    const kind = backingServices.WriteKind.Delete;
    await this.#write({ kind, key }, signal);
  }

  /** What the rows say, once the table service tells; `undefined` if it never did. */
  async read(
    signal: AbortSignal,
  ): Promise<suspectLedger.CrashReport[] | undefined> {
    const backOff = this.#backOff();
    while (!signal.aborted) {
      const rows = await this.parameters.table.range({
        from: KEY_PREFIX,
        to: KEY_RANGE_END,
        limit: MAX_ROWS,
      });
      if (rows.isOk()) {
        return rows.value.flatMap(({ key, value }) =>
          fromStored(
            key.slice(KEY_PREFIX.length),
            JSON.parse(value) as StoredCrash[],
          ),
        );
      }
      await common.sleep(backOff.pause(), signal);
    }
    return undefined;
  }

  /** One task at a time writes a row, until the last that was wanted is there. */
  async #write(
    write: backingServices.Write,
    signal: AbortSignal,
  ): Promise<void> {
    const { key } = write;
    const isBeingWritten = this.#pending.has(key);
    this.#pending.set(key, write);
    if (!isBeingWritten) await this.#writePending(key, signal);
  }

  /** Repeating a write does no harm, so one whose answer was lost is repeated. */
  async #writePending(key: string, signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    const backOff = this.#backOff();
    const deadline = common.now() + WRITE_TIMEOUT_MILLISECONDS;
    while (!signal.aborted) {
      const write = this.#pending.get(key);
      if (!write) return;
      const outcome = await table.transact({ conditions: [], writes: [write] });
      if (outcome.kind === backingServices.OutcomeKind.Committed) {
        // Something else may have been wanted meanwhile.
        if (this.#pending.get(key) === write) this.#pending.delete(key);
        continue;
      }
      const pause = backOff.pause();
      if (common.now() + pause > deadline) {
        this.#pending.delete(key);
        const code = common.EventCode.QuarantineNotKept;
        return logger.event(code, { row: key, outcome: outcome.kind });
      }
      await common.sleep(pause, signal);
    }
  }

  #backOff(): common.BackOff {
    return new common.BackOff({
      firstMilliseconds: FIRST_PAUSE_MILLISECONDS,
      longestMilliseconds: MAX_PAUSE_MILLISECONDS,
      random: this.parameters.random,
    });
  }
}

/** Rows that are written while requests go on. */
export function inBackground(
  rows: QuarantineRows,
  lifeCycle: common.LifeCycle,
): {
  store: (fingerprint: string, reports: suspectLedger.CrashReport[]) => void;
  remove: (fingerprint: string) => void;
} {
  return {
    store: (fingerprint, reports) =>
      lifeCycle.run("keep quarantine", (signal) =>
        rows.store(fingerprint, reports, signal),
      ),
    remove: (fingerprint) =>
      lifeCycle.run("drop quarantine", (signal) =>
        rows.remove(fingerprint, signal),
      ),
  };
}

function toStored(report: suspectLedger.CrashReport): StoredCrash[] {
  const { life, runner, service, version, seenBy, endedAt } = report;
  return report.suspicions
    .filter(({ cleared }) => !cleared && !report.disproved)
    .map(({ startedAt }) => ({
      life,
      runner,
      service,
      version,
      seenBy,
      endedAt: Math.round(Date.now() - (common.now() - endedAt)),
      ranFor: Math.round(endedAt - startedAt),
    }));
}

function fromStored(
  fingerprint: string,
  stored: StoredCrash[],
): suspectLedger.CrashReport[] {
  return stored.map(({ endedAt: timeOfDay, ranFor, ...unchanged }) => {
    const endedAt = common.now() - (Date.now() - timeOfDay);
    const startedAt = endedAt - ranFor;
    return {
      ...unchanged,
      endedAt,
      disproved: false,
      suspicions: [{ fingerprint, startedAt, cleared: false }],
    };
  });
}
