import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as configurationHolder from "./configuration_holder.ts";

/**
 * Time that a process without a configuration waits for its peers to send
 * theirs before it adopts a head from a copy.
 */
const MAX_WAIT_MILLISECONDS = 2_000;
/**
 * Time after which a process writes its configuration again although that is
 * another process's task, or although it started after the epoch began. By then
 * it has received the configuration of every running peer.
 */
const OWNER_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Decides what this process does with a head that was written in an earlier
 * epoch of the table. Such a head comes from a copy of the table, and a newer
 * one may have been accepted and lost. A process with the newer configuration
 * in force writes it again. A process that starts at that time first waits for
 * its peers to send the newer one.
 */
export class CopiedHeadPolicy {
  #firstSeen: { epoch: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      epoch: backingServices.TableEpoch;
      currentConfiguration: configurationHolder.ConfigurationHolder;
      /** Whether writing the head again is this process's task. */
      isOwner: () => boolean;
    },
  ) {}

  /**
   * Whether a head that was written in `headEpoch` may be put in force here.
   */
  mayAdopt(headEpoch: number): boolean {
    const { currentConfiguration } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    return currentConfiguration.revision > 0 || waited >= MAX_WAIT_MILLISECONDS;
  }

  /**
   * Whether this process must write its configuration again, in place of a head
   * that was written in `headEpoch`.
   */
  mayRestore(headEpoch: number): boolean {
    const { currentConfiguration, epoch, isOwner } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    if (headEpoch === epoch.number || currentConfiguration.behind) return false;
    if (currentConfiguration.revision === 0) return false;
    const ownerTimedOut = waited >= OWNER_TIMEOUT_MILLISECONDS;
    return ownerTimedOut || (epoch.sawBegin && isOwner());
  }

  /**
   * Milliseconds since this process first read a head of an earlier epoch in
   * the current one; infinite for a head of the current epoch.
   */
  #waitedMilliseconds(headEpoch: number): number {
    const { number } = this.parameters.epoch;
    if (headEpoch === number) return Infinity;
    const now = common.now();
    if (this.#firstSeen?.epoch !== number)
      this.#firstSeen = { epoch: number, at: now };
    return now - this.#firstSeen.at;
  }
}
