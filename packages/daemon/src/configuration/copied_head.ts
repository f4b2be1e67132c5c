import * as common from "@geraniumkeel/common";
import type * as backingServices from "@geraniumkeel/backing_services";
import type * as configurationKeeper from "./configuration_keeper.ts";

/** Time for which a process that holds nothing waits for others to tell, in milliseconds. */
const PEERS_MILLISECONDS = 2_000;
/**
 * Time after which a process confirms a head although another one should, or although
 * itself was not there when the epoch began: by then all that live have told.
 */
const ORPHANED_MILLISECONDS = 5_000;

/**
 * What to do about a head that was written in an earlier epoch of the table: it comes
 * from a copy, and a newer one may have been accepted and lost. Those who hold the newer
 * one write it again; those who start meanwhile hear of it first.
 */
export class CopiedHead {
  #seen: { epoch: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      epoch: backingServices.TableEpoch;
      keeper: configurationKeeper.ConfigurationKeeper;
      /** Whether it is for this process to write the head again. */
      isOwner: () => boolean;
    },
  ) {}

  /** Whether a head of the table may be put in force here. */
  mayAdopt(writtenIn: number): boolean {
    const { keeper } = this.parameters;
    const waited = this.#waited(writtenIn);
    return keeper.revision > 0 || waited >= PEERS_MILLISECONDS;
  }

  /** Whether what is in force here is to be written again. */
  mayRestore(writtenIn: number): boolean {
    const { keeper, epoch, isOwner } = this.parameters;
    const waited = this.#waited(writtenIn);
    if (writtenIn === epoch.number || keeper.behind) return false;
    if (keeper.revision === 0) return false;
    const orphaned = waited >= ORPHANED_MILLISECONDS;
    return orphaned || (epoch.sawBegin && isOwner());
  }

  /** Milliseconds since such a head was first seen in this epoch. */
  #waited(writtenIn: number): number {
    const { number } = this.parameters.epoch;
    if (writtenIn === number) return Infinity;
    const now = common.now();
    if (this.#seen?.epoch !== number) this.#seen = { epoch: number, at: now };
    return now - this.#seen.at;
  }
}
