import * as common from "@geraniumkeel/common";
import type * as memberRows from "../mesh/member_rows.ts";

/** How often a starting process checks whether it may trust the table. */
const TRUST_CHECK_INTERVAL_MILLISECONDS = 50;
/**
 * How often a starting process reads from the table which epoch is confirmed,
 * and how often a process that trusts the table checks, without reading the
 * table, whether it should confirm the epoch.
 */
const TABLE_READ_INTERVAL_MILLISECONDS = 500;
/**
 * Time after the first reading of the configuration after which a starting
 * process trusts the table without a confirmation. This assumes that by then
 * operators have written again what the table lost, and that any entry that has
 * a newer configuration has sent it to this one.
 */
const MAX_DOUBT_MILLISECONDS = 3_000;

/** What was read of the configuration from the table. */
export interface ConfigurationReading {
  /** Epoch of the table in which the configuration was read. */
  epoch: number;
  version: number;
}

/** What the confirmation of an epoch needs. */
export interface EpochConfirmationParameters {
  /** Rows of the entries in the table, and the confirmed epoch. */
  rows: memberRows.MemberRows;
  /** Version of the configuration that this process has; 0 for none. */
  currentVersion: () => number;
  /** The latest reading of the configuration; `undefined` before the first. */
  latestReading: () => ConfigurationReading | undefined;
  /**
   * Lowest version of the configuration among the other reachable entries that
   * are ready for requests; `undefined` if there is no such entry.
   */
  lowestServedVersion: () => number | undefined;
  /** Whether this process is the one that confirms epochs. */
  isConfirmer: () => boolean;
  logger: common.Logger;
}

/**
 * Decides whether a starting process may serve requests by the configuration in
 * the table. Just after the table was restored from a copy, which begins a new
 * epoch, its configuration may be an older one that contains keys revoked
 * since. One process, the confirmer, confirms the new epoch once the table's
 * configuration is as new as its own. A process confirms epochs only after it
 * trusts the table.
 */
export class EpochConfirmation {
  #trusted = false;
  #firstReading: { version: number; at: number } | undefined;

  constructor(readonly parameters: EpochConfirmationParameters) {}

  /**
   * Whether this process may serve requests by the configuration that it has.
   * Also true while the epoch is 0: for a table without epochs, which was never
   * restored, and before the table's first answer.
   */
  get trusted(): boolean {
    return this.#trusted || this.parameters.rows.epoch.number === 0;
  }

  /**
   * Waits until the table can be trusted. From then on, confirms the table's
   * epoch whenever it is not confirmed and this process is the confirmer.
   */
  async run(signal: AbortSignal): Promise<void> {
    let readAt = common.now();
    while (!signal.aborted && !this.#mayTrustTable()) {
      if (common.now() - readAt >= TABLE_READ_INTERVAL_MILLISECONDS) {
        readAt = common.now();
        // Updates `confirmedEpoch`; the entries' rows are not needed here.
        await this.parameters.rows.read();
      }
      await common.sleep(TRUST_CHECK_INTERVAL_MILLISECONDS, signal);
    }
    this.#trusted = true;
    while (!signal.aborted) {
      if (this.#mayConfirm()) {
        const { rows } = this.parameters;
        await rows.confirmEpoch(rows.epoch.number);
      }
      await common.sleep(TABLE_READ_INTERVAL_MILLISECONDS, signal);
    }
  }

  /**
   * Whether the configuration in the table is known, or assumed, to be current.
   */
  #mayTrustTable(): boolean {
    const { rows, currentVersion, lowestServedVersion, latestReading } =
      this.parameters;
    if (rows.confirmedEpoch >= rows.epoch.number) return true;
    const served = lowestServedVersion();
    if (served !== undefined && currentVersion() >= served) return true;
    const version = latestReading()?.version;
    if (version === undefined) return false;
    this.#firstReading ??= { version, at: common.now() };
    // An operator has written a new version since this process first read the
    // table; this process then trusts the table.
    if (version !== this.#firstReading.version) return true;
    const doubtedMilliseconds = common.now() - this.#firstReading.at;
    if (doubtedMilliseconds < MAX_DOUBT_MILLISECONDS) return false;
    const code = common.EventCode.TableEpochDoubtful;
    const { number: epoch } = rows.epoch;
    this.parameters.logger.event(code, { epoch, version });
    return true;
  }

  /**
   * Whether this process should confirm the table's epoch now: the epoch is not
   * confirmed, the configuration read in it is at least as new as this
   * process's, and this process is the confirmer.
   */
  #mayConfirm(): boolean {
    const { rows, latestReading, currentVersion, isConfirmer } =
      this.parameters;
    const { number } = rows.epoch;
    if (number === 0 || rows.confirmedEpoch === number) return false;
    const read = latestReading();
    if (read?.epoch !== number || read.version < currentVersion()) return false;
    return isConfirmer();
  }
}
