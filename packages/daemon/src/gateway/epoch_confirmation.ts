import * as common from "@geraniumkeel/common";
import type * as memberRows from "../mesh/member_rows.ts";

/** How often a starting process checks whether it may trust the table. */
const TRUST_CHECK_INTERVAL_MILLISECONDS = 50;
/** How often the table is read for whether its epoch is confirmed. */
const TABLE_READ_INTERVAL_MILLISECONDS = 500;
/**
 * Time after which a starting process trusts the table without a confirmation.
 * By then operators have written again what the table lost, and any process
 * that knows a newer configuration has sent it.
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
  rows: memberRows.MemberRows;
  /** Version of the configuration that this process has; 0 for none. */
  currentVersion: () => number;
  /** The latest reading of the configuration; `undefined` before the first. */
  latestReading: () => ConfigurationReading | undefined;
  /**
   * Lowest version at another entry that takes requests; `undefined` if none is
   * reachable.
   */
  lowestServedVersion: () => number | undefined;
  /** Whether this process is the one that confirms epochs. */
  isConfirmer: () => boolean;
  logger: common.Logger;
}

/**
 * Decides whether a starting process may serve the configuration in the table.
 * Just after the table was restored from a copy, its configuration may be an
 * older one that contains keys revoked since. A process that was running before
 * confirms the new epoch once the table's configuration is as new as the one in
 * force.
 */
export class EpochConfirmation {
  #trusted = false;
  #firstReading: { version: number; at: number } | undefined;

  constructor(readonly parameters: EpochConfirmationParameters) {}

  /**
   * Whether the configuration that this process has may be served. A table
   * without epochs was never restored.
   */
  get trusted(): boolean {
    return this.#trusted || this.parameters.rows.epoch.number === 0;
  }

  /** Waits until the table can be trusted, then confirms each later epoch. */
  async run(signal: AbortSignal): Promise<void> {
    let readAt = common.now();
    while (!signal.aborted && !this.#mayTrustTable()) {
      if (common.now() - readAt >= TABLE_READ_INTERVAL_MILLISECONDS) {
        readAt = common.now();
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
    // table.
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
