import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as configurationHolder from "./configuration_holder.ts";

/**
 * Time that a process without a configuration waits for its peers to send
 * theirs before it adopts a head of an earlier epoch.
 */
const MAX_WAIT_MILLISECONDS = 2_000;
/**
 * Time after which a process rewrites the head although that is another
 * process's task, or although this process started after the epoch began. By
 * then it has received the configuration of every running peer.
 */
const OWNER_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Decides what this process does with a head that was written in an earlier
 * epoch of the table. The head is the row that names the revision of the
 * configuration and of each of its sections. A new epoch begins when the table
 * is restored from a copy. The copy may contain an older head than the last
 * one that was accepted. A process that has the newer configuration in force
 * therefore rewrites the head: it writes its configuration to the table as a
 * new revision. A process that starts at that time first waits for its peers to
 * send the newer configuration.
 */
export class CopiedHeadPolicy {
  #firstSeen: { epoch: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      epoch: backingServices.TableEpoch;
      currentConfiguration: configurationHolder.ConfigurationHolder;
      /**
       * Whether this process is the one entry whose task it is to rewrite the
       * head.
       */
      isOwner: () => boolean;
    },
  ) {}

  /**
   * Whether this process may put a head in force that was written in epoch
   * `headEpoch` of the table.
   */
  mayAdopt(headEpoch: number): boolean {
    const { currentConfiguration } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    return currentConfiguration.revision > 0 || waited >= MAX_WAIT_MILLISECONDS;
  }

  /**
   * Whether this process must rewrite a head that was written in epoch
   * `headEpoch` of the table.
   */
  mustRewrite(headEpoch: number): boolean {
    const { currentConfiguration, epoch, isOwner } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    if (headEpoch === epoch.number || currentConfiguration.behind) return false;
    if (currentConfiguration.revision === 0) return false;
    const ownerTimedOut = waited >= OWNER_TIMEOUT_MILLISECONDS;
    return ownerTimedOut || (epoch.sawBegin && isOwner());
  }

  /**
   * Milliseconds since this process first read a head of an earlier epoch
   * during the current one; infinite for a head of the current epoch, which
   * needs no wait.
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
