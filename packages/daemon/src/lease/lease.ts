import * as common from "@geraniumkeel/common";
import * as backingServices from "@geraniumkeel/backing_services";
import * as zod from "zod";

/**
 * Fencing numbers that are skipped in a new epoch of the table. The table may
 * have lost its last seconds, and with them the rows of terms that began in
 * this time. Their numbers must not be used again: a rank that promised to obey
 * a number obeys every term that has it. Terms last for seconds, so fewer terms
 * than this were lost.
 */
const SKIPPED_FENCING_NUMBERS = 1_000;

/** The lease as stored in the table, in JSON. */
const LEASE_ROW = zod.object({
  /** Host of the holder; empty if the holder released the lease. */
  holder: zod.string(),
  incarnation: zod.string(),
  /** Fencing number of the holder's term. */
  fencing: zod.number().int().min(0),
  /**
   * Epoch of the table in which the row was written; lower than any epoch in a
   * row of an earlier version, which has none.
   */
  epoch: zod.number().default(-1),
  /** Random identifier that distinguishes this write from every other one. */
  nonce: zod.string(),
});

type LeaseRow = zod.infer<typeof LEASE_ROW>;

/** The lease as this process, its holder, last wrote it. */
interface OwnLease {
  fencing: number;
  revision: backingServices.Revision;
  /** When the last successful write began, by this process's clock. */
  renewedAt: number;
}

/**
 * A lease in the table service, for a task that only one process at a time
 * should do. Without the lease, processes would supersede each other again and
 * again; safety never depends on it. The processes do not compare the clocks of
 * different hosts. Another process regards the lease as expired when the row
 * has not changed for the lease duration by its own clock. The holder regards
 * it as expired earlier, half of the duration after its last renewal by its own
 * clock.
 */
export class Lease {
  /** Set while this process may be the holder. */
  #own: OwnLease | undefined;
  /** Revision of another holder's row, and when this process first read it. */
  #observed: { revision: backingServices.Revision; since: number } | undefined;
  /**
   * Highest fencing number that ranks are known to have promised to obey; later
   * terms use higher ones.
   */
  #promisedFencing = 0;

  constructor(
    readonly parameters: {
      table: backingServices.TableService;
      key: string;
      host: string;
      incarnation: string;
      durationMilliseconds: number;
      random: common.Random;
      unreadable: common.UnreadableRows;
    },
  ) {}

  /**
   * Fencing number while this process is certain to be the holder; otherwise
   * `undefined`.
   */
  get fencing(): number | undefined {
    const { durationMilliseconds } = this.parameters;
    if (!this.#own) return undefined;
    // The table may have lost the row, and any process may have the lease now.
    if (this.#own.revision.epoch !== this.#epoch) return undefined;
    const age = common.now() - this.#own.renewedAt;
    return age < durationMilliseconds / 2 ? this.#own.fencing : undefined;
  }

  get #epoch(): number {
    return this.parameters.table.epoch.number;
  }

  /**
   * Makes later terms use higher fencing numbers than this one, which a rank
   * has promised to obey. The table may have lost the row that contained it.
   */
  raiseFencingAbove(fencing: number): void {
    this.#promisedFencing = Math.max(this.#promisedFencing, fencing);
  }

  /**
   * Renews the lease or tries to acquire it. Returns the fencing number if this
   * process is the holder afterwards.
   */
  async renew(): Promise<number | undefined> {
    if (this.#own) await this.#extend(this.#own);
    else await this.#acquire();
    return this.fencing;
  }

  /**
   * Renews the lease if the row still has the revision that this process wrote
   * last: then no other process had the lease since. It does not read the row
   * first: a read may return an old row, and the holder would conclude that it
   * lost the lease.
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
        // The row may come from an earlier write of this process that took
        // effect after the process had stopped waiting for it.
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

  /**
   * Acquires the lease if it is free, expired or this process's own. A row that
   * can't be read is left as it is until it is mended: the number of the last
   * term is in it, and a term that had the same number would give orders beside
   * it.
   */
  async #acquire(): Promise<void> {
    const renewedAt = common.now();
    const read = await this.parameters.table.get(this.parameters.key);
    if (read.isErr()) return;
    const row = read.value;
    const lease = row && this.#readLease(row);
    if (row && !lease) return;
    const isOwnRow = lease && this.#isOfThisIncarnation(lease);
    if (lease && !isOwnRow && !this.#hasExpired(lease, row.revision)) return;
    const epoch = this.#epoch;
    const fencing = this.#nextFencing(lease);
    const outcome = await this.#write(row?.revision, fencing);
    if (outcome.kind !== backingServices.DefiniteKind.Committed) return;
    // A row that did not exist may have been written in an epoch that began in
    // the meantime; the fencing number was chosen for the epoch before.
    if (outcome.revision.epoch !== epoch) return;
    this.#own = { fencing, revision: outcome.revision, renewedAt };
  }

  /**
   * Fencing number of a new term. It is always a new one, even if this process
   * wrote the row: another holder may have given orders since.
   */
  #nextFencing(last: LeaseRow | undefined): number {
    const epoch = this.#epoch;
    const skipped = last?.epoch === epoch ? 0 : SKIPPED_FENCING_NUMBERS;
    const next = last
      ? last.fencing + 1 + skipped
      : epoch * SKIPPED_FENCING_NUMBERS + 1;
    return Math.max(next, this.#promisedFencing + 1);
  }

  /** Whether this process wrote the row in the current epoch of the table. */
  #isOfThisIncarnation({ incarnation, epoch }: LeaseRow): boolean {
    return incarnation === this.parameters.incarnation && epoch === this.#epoch;
  }

  /** Whether this process wrote the row in the term with this number. */
  #isOwnTerm(row: backingServices.Row, fencing: number): boolean {
    const lease = this.#readLease(row);
    const { incarnation } = this.parameters;
    return lease?.incarnation === incarnation && lease.fencing === fencing;
  }

  /**
   * Releases the lease, so that the next holder does not have to wait until it
   * expires.
   */
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

  /** Whether another process's lease was released or has expired. */
  #hasExpired(
    { holder, epoch }: LeaseRow,
    revision: backingServices.Revision,
  ): boolean {
    // A release that was written in an earlier epoch does not count: the table
    // may have lost the row of a later holder, who does not notice for some
    // time.
    if (holder === "" && epoch === this.#epoch) return true;
    const now = common.now();
    const isUnchanged = backingServices.isSameRevision(
      this.#observed?.revision,
      revision,
    );
    if (!this.#observed || !isUnchanged) {
      this.#observed = { revision, since: now };
      return false;
    }
    return now - this.#observed.since > this.parameters.durationMilliseconds;
  }

  /** Writes the row if it has the revision `base`, or if there is none. */
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
    // Repeats the write until its outcome is known: if only the answers were
    // lost, the lease would expire for its holder although it was renewed.
    return backingServices.writeDefinitely({
      table,
      write: { transaction, decidingKey: key, nonce },
      timeoutMilliseconds: this.parameters.durationMilliseconds / 4,
      random,
    });
  }

  /** The lease in a row; `undefined` if it can't be read. */
  #readLease({ key, value }: backingServices.Row): LeaseRow | undefined {
    const { unreadable } = this.parameters;
    const read = common.validateJson(LEASE_ROW, value);
    if (read.isErr()) {
      unreadable.note(key, value, read.error);
      return undefined;
    }
    unreadable.forget(key);
    return read.value;
  }
}
