import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as configurationHolder from "./configuration_holder.ts";

/** Time for which a process that holds nothing waits for others to tell, in milliseconds. */
const MAX_WAIT_MILLISECONDS = 2_000;
/**
 * Time after which a process confirms a head although another one should, or although
 * itself was not there when the epoch began: by then all that live have told.
 */
const OWNER_TIMEOUT_MILLISECONDS = 5_000;

/**
 * What to do about a head that was written in an earlier epoch of the table: it comes
 * from a copy, and a newer one may have been accepted and lost. Those who hold the newer
 * one write it again; those who start meanwhile hear of it first.
 */
export class CopiedHeadPolicy {
  #firstSeen: { epoch: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      epoch: backingServices.TableEpoch;
      currentConfiguration: configurationHolder.ConfigurationHolder;
      /** Whether it is for this process to write the head again. */
      isOwner: () => boolean;
    },
  ) {}

  /** Whether a head of the table may be put in force here. */
  mayAdopt(headEpoch: number): boolean {
    const { currentConfiguration: currentConfiguration } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    return currentConfiguration.revision > 0 || waited >= MAX_WAIT_MILLISECONDS;
  }

  /** Whether what is in force here is to be written again. */
  mayRestore(headEpoch: number): boolean {
    const {
      currentConfiguration: currentConfiguration,
      epoch,
      isOwner,
    } = this.parameters;
    const waited = this.#waitedMilliseconds(headEpoch);
    if (headEpoch === epoch.number || currentConfiguration.behind) return false;
    if (currentConfiguration.revision === 0) return false;
    const ownerTimedOut = waited >= OWNER_TIMEOUT_MILLISECONDS;
    return ownerTimedOut || (epoch.sawBegin && isOwner());
  }

  /** Milliseconds since such a head was first seen in this epoch. */
  #waitedMilliseconds(headEpoch: number): number {
    const { number } = this.parameters.epoch;
    if (headEpoch === number) return Infinity;
    const now = common.now();
    if (this.#firstSeen?.epoch !== number)
      this.#firstSeen = { epoch: number, at: now };
    return now - this.#firstSeen.at;
  }
}
