import * as common from "@geraniumkeel/common";
import type * as memberRows from "../mesh/member_rows.ts";

/** How often a process looks whether something speaks for the configuration. */
const TRUST_CHECK_INTERVAL_MILLISECONDS = 50;
/** How often the table is asked whether its epoch is confirmed. */
const TABLE_READ_INTERVAL_MILLISECONDS = 500;
/**
 * Time after which a process that started takes the table at its word: operators have
 * written again by then what it lost, and whoever knows more has told.
 */
const MAX_DOUBT_MILLISECONDS = 3_000;

/** A reading of the configuration. */
export interface ConfigurationReading {
  /** Epoch of the table in which it was read. */
  epoch: number;
  version: number;
}

/** What confirming an epoch needs. */
export interface EpochConfirmationParameters {
  rows: memberRows.MemberRows;
  /** Version that is held here; 0 for none. */
  currentVersion: () => number;
  /** The latest reading; `undefined` before the first. */
  latestReading: () => ConfigurationReading | undefined;
  /** Lowest version at an entry that takes requests; `undefined` if none is heard. */
  lowestServedVersion: () => number | undefined;
  /** Whether it is for this process to confirm. */
  isConfirmer: () => boolean;
  logger: common.Logger;
}

/**
 * Whether the configuration in the table may be served by a process that starts. Right
 * after the table came back from a copy it may be an older one, in which keys are good
 * that were taken away since. Whoever was there before confirms the new epoch once the
 * table's configuration is as new as the one in force.
 */
export class EpochConfirmation {
  #trusted = false;
  #firstReading: { version: number; at: number } | undefined;

  constructor(readonly parameters: EpochConfirmationParameters) {}

  /** Whether what is held may be served. A table without epochs was never lost. */
  get trusted(): boolean {
    return this.#trusted || this.parameters.rows.epoch.number === 0;
  }

  /** Waits until the table can be trusted, and confirms each epoch after it. */
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

  #mayTrustTable(): boolean {
    const { rows, currentVersion, lowestServedVersion, latestReading } =
      this.parameters;
    if (rows.confirmedEpoch >= rows.epoch.number) return true;
    const served = lowestServedVersion();
    if (served !== undefined && currentVersion() >= served) return true;
    const version = latestReading()?.version;
    if (version === undefined) return false;
    this.#firstReading ??= { version, at: common.now() };
    // Written by the operator since this process looked first.
    if (version !== this.#firstReading.version) return true;
    const doubtedMilliseconds = common.now() - this.#firstReading.at;
    if (doubtedMilliseconds < MAX_DOUBT_MILLISECONDS) return false;
    const code = common.EventCode.TableEpochDoubtful;
    const { number: epoch } = rows.epoch;
    this.parameters.logger.event(code, { epoch, version });
    return true;
  }

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
