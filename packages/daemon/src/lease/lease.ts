import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";

/**
 * Fencing numbers that are skipped in a new epoch of the table. Terms were begun in the
 * seconds that it has lost, and their numbers may not be given again: a rank that
 * promised to obey one obeys every term of that number. Terms last for seconds, so
 * fewer than this were lost.
 */
const SKIPPED_FENCING_NUMBERS = 1_000;

/** Row of a lease. */
interface LeaseRow {
  holder: string;
  incarnation: string;
  fencing: number;
  /** Epoch of the table in which the row was written. */
  epoch: number;
  nonce: string;
}

/** The lease as its holder last wrote it. */
interface OwnLease {
  fencing: number;
  revision: backingServices.Revision;
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
  #own: OwnLease | undefined;
  /** The row as last seen of another holder, and since when. */
  #observed: { revision: backingServices.Revision; since: number } | undefined;
  /** Fencing numbers up to this one were promised to others. */
  #promisedFencing = 0;

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
    if (!this.#own) return undefined;
    // A lease that the table has forgotten is anybody's.
    if (this.#own.revision.epoch !== this.#epoch) return undefined;
    const age = common.now() - this.#own.renewedAt;
    return age < durationMilliseconds / 2 ? this.#own.fencing : undefined;
  }

  get #epoch(): number {
    return this.parameters.table.epoch.number;
  }

  /**
   * Takes no fencing number up to this one: somebody promised to obey it. The table may
   * have forgotten that it was given.
   */
  raiseFencingAbove(fencing: number): void {
    this.#promisedFencing = Math.max(this.#promisedFencing, fencing);
  }

  /** Takes or renews the lease; the fencing number if it is held. */
  async renew(): Promise<number | undefined> {
    if (this.#own) await this.#extend(this.#own);
    else await this.#acquire();
    return this.fencing;
  }

  /**
   * Renews on the revision last written, without a read: a read that is served
   * an old row would have the holder believe that it lost the lease. Nobody else
   * had it since if the row is still at that revision.
   */
  async #extend(own: OwnLease): Promise<void> {
    const renewedAt = common.now();
    const outcome = await this.#write(own.revision, own.fencing);
    switch (outcome.kind) {
      case backingServices.DefiniteKind.Committed:
        this.#own = { ...own, revision: outcome.revision, renewedAt };
        return;
      case backingServices.DefiniteKind.Conflict: {
        const { row } = outcome;
        // An earlier write of ours may have landed after it was given up.
        const isOwnLateWrite = row && this.#isOwnTerm(row, own.fencing);
        this.#own = isOwnLateWrite
          ? { ...own, revision: row.revision }
          : undefined;
        return;
      }
      case backingServices.DefiniteKind.PastEpoch:
        this.#own = undefined;
        return;
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
    const isOwnRow = lease && this.#isOfThisIncarnation(lease);
    if (row && !isOwnRow && !this.#hasExpired(row)) return;
    const epoch = this.#epoch;
    const fencing = this.#nextFencing(lease);
    const outcome = await this.#write(row?.revision, fencing);
    if (outcome.kind !== backingServices.DefiniteKind.Committed) return;
    // Written where there was none, in an epoch that began meanwhile.
    if (outcome.revision.epoch !== epoch) return;
    this.#own = { fencing, revision: outcome.revision, renewedAt };
  }

  /**
   * Another holder may have given orders since, also if the row is ours: a new term gets
   * a new number.
   */
  #nextFencing(last: LeaseRow | undefined): number {
    const epoch = this.#epoch;
    const skipped = last?.epoch === epoch ? 0 : SKIPPED_FENCING_NUMBERS;
    const next = last
      ? last.fencing + 1 + skipped
      : epoch * SKIPPED_FENCING_NUMBERS + 1;
    return Math.max(next, this.#promisedFencing + 1);
  }

  /** Whether this process wrote a row, and the table has lost nothing since. */
  #isOfThisIncarnation({ incarnation, epoch }: LeaseRow): boolean {
    return incarnation === this.parameters.incarnation && epoch === this.#epoch;
  }

  #isOwnTerm(row: backingServices.Row, fencing: number): boolean {
    const lease = parseLease(row);
    const { incarnation } = this.parameters;
    return lease.incarnation === incarnation && lease.fencing === fencing;
  }

  /** Gives the lease up, so that the next holder need not wait. */
  async release(): Promise<void> {
    const own = this.#own;
    this.#own = undefined;
    if (!own) return;
    const { table, key } = this.parameters;
    const row: LeaseRow = {
      holder: "",
      incarnation: "",
      fencing: own.fencing,
      epoch: own.revision.epoch,
      nonce: common.randomIdentifier(),
    };
    await table.transact({
      conditions: [backingServices.atRevision(key, own.revision)],
      writes: [backingServices.putRow(key, JSON.stringify(row))],
    });
  }

  #hasExpired(row: backingServices.Row): boolean {
    const { holder, epoch } = parseLease(row);
    // What a table has lost with its last seconds may have been a holder, who knows
    // nothing of it for some time.
    if (holder === "" && epoch === this.#epoch) return true;
    const now = common.now();
    const isUnchanged = backingServices.isSameRevision(
      this.#observed?.revision,
      row.revision,
    );
    if (!this.#observed || !isUnchanged) {
      this.#observed = { revision: row.revision, since: now };
      return false;
    }
    return now - this.#observed.since > this.parameters.durationMilliseconds;
  }

  /** Writes the row in place of a revision, or where there is none. */
  #write(
    base: backingServices.Revision | undefined,
    fencing: number,
  ): Promise<backingServices.DefiniteOutcome> {
    const { table, key, host, incarnation, random } = this.parameters;
    const nonce = common.randomIdentifier();
    const epoch = this.#epoch;
    const lease: LeaseRow = {
      holder: host,
      incarnation,
      fencing,
      epoch,
      nonce,
    };
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
