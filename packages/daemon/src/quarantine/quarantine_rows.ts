import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as storedCrash from "./stored_crash.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

const KEY_PREFIX = "quarantine/";
/** First key after all keys that begin with the prefix. */
const KEY_RANGE_END = "quarantine0";
/**
 * Largest number of rows in one read. It is also the largest number of requests
 * in quarantine at once.
 */
const MAX_ROWS = 1_000;
const FIRST_PAUSE_MILLISECONDS = 100;
const MAX_PAUSE_MILLISECONDS = 5_000;
/**
 * Time for which a task retries the writes of one row, from the start of the
 * task. A write that replaces a pending one has only the rest of this time.
 */
const WRITE_TIMEOUT_MILLISECONDS = 60_000;

/** What the rows of the quarantine need of their process. */
export interface QuarantineRowsParameters {
  table: backingServices.TableService;
  random: common.Random;
  logger: common.Logger;
  metrics: common.Metrics;
}

/**
 * Stores quarantined requests in the platform's table service, one row each.
 * Entries report crashes to each other, but retain them only in memory. If all
 * entries lost power at once, then without the rows the same request would
 * crash as many runners again.
 */
export class QuarantineRows {
  /**
   * By key, the write that is not committed yet. One task per key works on it.
   */
  readonly #pending = new Map<string, backingServices.Write>();

  readonly #unreadable: common.UnreadableRows;

  constructor(readonly parameters: QuarantineRowsParameters) {
    const { metrics, logger } = parameters;
    this.#unreadable = common.UnreadableRows.ofTable(
      "quarantine",
      logger,
      metrics,
    );
  }

  /**
   * Stores the crashes for which a request is in quarantine. The reports must
   * have suspicions of this request only.
   */
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

  /** Removes the row of a request that was released from quarantine. */
  async remove(fingerprint: string, signal: AbortSignal): Promise<void> {
    const key = KEY_PREFIX + fingerprint;
    const kind = backingServices.WriteKind.Delete;
    await this.#write({ kind, key }, signal);
  }

  /**
   * Reads all rows as reports, and retries until the table service answers.
   * Returns `undefined` if `signal` aborts before that.
   */
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
        return rows.value.flatMap((row) => this.#readRow(row));
      }
      await common.sleep(backOff.pause(), signal);
    }
    return undefined;
  }

  /** The crashes of a row; none if it can't be read. */
  #readRow({ key, value }: backingServices.Row): suspectLedger.CrashReport[] {
    const read = common.validateRow(storedCrash.STORED_CRASHES, value);
    if (read.isErr()) {
      this.#unreadable.note(key, value, read.error);
      return [];
    }
    return fromStored(key.slice(KEY_PREFIX.length), read.value);
  }

  /**
   * Replaces the pending write of a row. If a task is writing this row already,
   * returns at once and leaves the write to that task. Otherwise returns when
   * the last pending write is committed, when the writes have failed for
   * `WRITE_TIMEOUT_MILLISECONDS`, or when `signal` aborts.
   */
  async #write(
    write: backingServices.Write,
    signal: AbortSignal,
  ): Promise<void> {
    const { key } = write;
    const isBeingWritten = this.#pending.has(key);
    this.#pending.set(key, write);
    if (!isBeingWritten) await this.#writePending(key, signal);
  }

  /**
   * Writes a row with retries, and logs an event if they fail for
   * `WRITE_TIMEOUT_MILLISECONDS`. Repeating a write does no harm, so a write
   * whose answer was lost is repeated.
   */
  async #writePending(key: string, signal: AbortSignal): Promise<void> {
    const { table, logger } = this.parameters;
    const backOff = this.#backOff();
    const deadline = common.now() + WRITE_TIMEOUT_MILLISECONDS;
    while (!signal.aborted) {
      const write = this.#pending.get(key);
      if (!write) return;
      const outcome = await table.transact({ conditions: [], writes: [write] });
      if (outcome.kind === backingServices.OutcomeKind.Committed) {
        // A newer write of the row may have replaced this one meanwhile.
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

/**
 * Returns functions that store and remove rows in background tasks, so that no
 * request waits for the table service. The task that stores a row is named
 * "keep quarantine", the one that removes a row "drop quarantine".
 */
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

/**
 * Converts a report to the crashes of a row, without cleared suspicions and
 * disproved crashes. The suspicions must be of the row's request only, as the
 * crashes of a row have no fingerprint: it is in the key of the row.
 */
function toStored(
  report: suspectLedger.CrashReport,
): storedCrash.StoredCrash[] {
  const { life, runner, service, version, seenBy, endedAt } = report;
  return report.suspicions
    .filter(({ cleared }) => !cleared && !report.disproved)
    .map(({ startedAt, part }) => ({
      life,
      runner,
      service,
      version,
      seenBy,
      endedAt: Math.round(Date.now() - (common.now() - endedAt)),
      ranFor: Math.round(endedAt - startedAt),
      part,
    }));
}

/**
 * Converts the crashes of a row to reports, with times of this process's
 * monotonic clock.
 */
function fromStored(
  fingerprint: string,
  stored: storedCrash.StoredCrash[],
): suspectLedger.CrashReport[] {
  return stored.map(({ endedAt: unixTime, ranFor, part, ...unchanged }) => {
    const endedAt = common.now() - (Date.now() - unixTime);
    const startedAt = endedAt - ranFor;
    return {
      ...unchanged,
      endedAt,
      disproved: false,
      suspicions: [{ fingerprint, startedAt, cleared: false, part }],
    };
  });
}
