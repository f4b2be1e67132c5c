import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";

/** Row of a lease. */
interface LeaseRow {
  holder: string;
  incarnation: string;
  fencing: number;
  nonce: string;
}

/** The lease as its holder last wrote it. */
interface HeldLease {
  fencing: number;
  revision: number;
  /** When the write was begun, by the holder's clock. */
  renewedAt: number;
}

/**
 * A lease in the table service. It avoids duels between holders of a duty;
 * safety never rests on it. No clocks are compared:
 * a lease lapses for others when its row has not changed for its duration by
 * their own clocks, and for its holder a good deal earlier by its own.
 */
export class Lease {
  #held: HeldLease | undefined;
  /** The row as last seen of another holder, and since when. */
  #seen: { revision: number; at: number } | undefined;

  constructor(
    readonly parameters: {
      table: backingServices.TableService;
      key: string;
      host: string;
      incarnation: string;
      durationMilliseconds: number;
      random: common.Random;
    },
  ) {}

  /** Fencing number while the lease is surely held. */
  get fencing(): number | undefined {
    const { durationMilliseconds } = this.parameters;
    if (!this.#held) return undefined;
    const age = common.now() - this.#held.renewedAt;
    return age < durationMilliseconds / 2 ? this.#held.fencing : undefined;
  }

  /** Takes or renews the lease; the fencing number if it is held. */
  async renew(): Promise<number | undefined> {
    if (this.#held) await this.#extend(this.#held);
    else await this.#acquire();
    return this.fencing;
  }

  /**
   * Renews on the revision last written, without a read: a read that is served
   * an old row would have the holder believe that it lost the lease. Nobody else
   * had it since if the row is still at that revision.
   */
  async #extend(held: HeldLease): Promise<void> {
    const renewedAt = common.now();
    const outcome = await this.#write(held.revision, held.fencing);
    switch (outcome.kind) {
      case backingServices.DefiniteKind.Committed:
        this.#held = { ...held, revision: outcome.revision, renewedAt };
        return;
      case backingServices.DefiniteKind.Conflict: {
        const { row } = outcome;
        // An earlier write of ours may have landed after it was given up.
        const ownLateWrite = row && this.#isOwn(row, held.fencing);
        this.#held = ownLateWrite
          ? { ...held, revision: row.revision }
          : undefined;
        return;
      }
      case backingServices.DefiniteKind.NotWritten:
      case backingServices.DefiniteKind.GivenUp:
        return;
    }
  }

  async #acquire(): Promise<void> {
    const renewedAt = common.now();
    const read = await this.parameters.table.get(this.parameters.key);
    if (read.isErr()) return;
    const row = read.value;
    const lease = row && parseLease(row);
    const own = lease?.incarnation === this.parameters.incarnation;
    if (row && !own && !this.#lapsed(row)) return;
    // Another holder may have given orders since, also if the row is ours: a
    // new term gets a new number.
    const fencing = (lease?.fencing ?? 0) + 1;
    const outcome = await this.#write(row?.revision, fencing);
    if (outcome.kind !== backingServices.DefiniteKind.Committed) return;
    this.#held = { fencing, revision: outcome.revision, renewedAt };
  }

  #isOwn(row: backingServices.Row, fencing: number): boolean {
    const lease = parseLease(row);
    const { incarnation } = this.parameters;
    return lease.incarnation === incarnation && lease.fencing === fencing;
  }

  /** Gives the lease up, so that the next holder need not wait. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (!held) return;
    const { table, key } = this.parameters;
    const row: LeaseRow = {
      holder: "",
      incarnation: "",
      fencing: held.fencing,
      nonce: common.randomIdentifier(),
    };
    await table.transact({
      conditions: [backingServices.atRevision(key, held.revision)],
      writes: [backingServices.putRow(key, JSON.stringify(row))],
    });
  }

  #lapsed(row: backingServices.Row): boolean {
    const { holder } = parseLease(row);
    if (holder === "") return true;
    const now = common.now();
    if (this.#seen?.revision !== row.revision) {
      this.#seen = { revision: row.revision, at: now };
      return false;
    }
    return now - this.#seen.at > this.parameters.durationMilliseconds;
  }

  /** Writes the row in place of a revision, or where there is none. */
  #write(
    base: number | undefined,
    fencing: number,
  ): Promise<backingServices.DefiniteOutcome> {
    const { table, key, host, incarnation, random } = this.parameters;
    const nonce = common.randomIdentifier();
    const lease: LeaseRow = { holder: host, incarnation, fencing, nonce };
    const transaction: backingServices.Transaction = {
      conditions: [backingServices.atRevision(key, base)],
      writes: [backingServices.putRow(key, JSON.stringify(lease))],
    };
    // With lost answers a lease renewed in truth would lapse for its holder.
    return backingServices.writeDefinitely({
      table,
      write: { transaction, decidingKey: key, nonce },
      timeoutMilliseconds: this.parameters.durationMilliseconds / 4,
      random,
    });
  }
}

function parseLease(row: backingServices.Row): LeaseRow {
  return JSON.parse(row.value) as LeaseRow;
}
