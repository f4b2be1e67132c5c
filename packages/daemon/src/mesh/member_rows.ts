import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as neverthrow from "neverthrow";
import * as zod from "zod";

const PREFIX = "entry/";
/** First key after all keys with the prefix. */
const PREFIX_END = "entry0";
/**
 * Row with the latest epoch of the table in which an entry confirmed that the
 * table's configuration is the newest. Its key sorts just before the entries,
 * so that one call reads all rows.
 */
const CONFIRMED_EPOCH_KEY = "entry-epoch";
/**
 * Largest number of rows read in one call; deployments have up to 330 entries.
 */
const MAX_ROWS = 1_000;

/**
 * Longest time that a process waits for the removal of a row. A process that
 * stops waits for the removal of its own.
 */
const REMOVE_TIMEOUT_MILLISECONDS = 500;

const PORT = zod.number().int().min(1).max(65_535);
const MEMBER = zod.object({
  host: zod.string().min(1),
  dataCentre: zod.string(),
  address: zod.string().min(1),
  linkPort: PORT,
  callerPort: PORT,
});

/** An entry's row. The row is removed only if it still has this revision. */
export interface MemberRow {
  member: wire.MeshMember;
  revision: backingServices.Revision;
}

/**
 * Rows of the table service in which the entries register themselves, so that
 * each entry finds the others.
 */
export class MemberRows {
  #confirmedEpoch: number | undefined;
  readonly #unreadable: common.UnreadableRows;

  constructor(
    readonly table: backingServices.TableService,
    logger: common.Logger,
    metrics: common.Metrics,
  ) {
    this.#unreadable = common.UnreadableRows.ofTable(
      "entries",
      logger,
      metrics,
    );
  }

  /** The epoch of the table. */
  get epoch(): backingServices.TableEpoch {
    return this.table.epoch;
  }

  /**
   * Epoch in which the table's configuration was last confirmed to be the
   * newest, as this process last read or wrote it. Infinite if the table has no
   * such row, -1 before the first read.
   */
  get confirmedEpoch(): number {
    return this.#confirmedEpoch ?? -1;
  }

  /**
   * Writes a row which states that in an epoch of the table the table's
   * configuration is the newest.
   */
  async confirmEpoch(epoch: number): Promise<void> {
    const outcome = await this.table.transact({
      conditions: [],
      writes: [backingServices.putRow(CONFIRMED_EPOCH_KEY, String(epoch))],
    });
    if (outcome.kind !== backingServices.OutcomeKind.Committed) return;
    this.#confirmedEpoch = outcome.revisions[CONFIRMED_EPOCH_KEY].epoch;
  }

  /**
   * Registers an entry. Returns the revision of its row, or `undefined` if the
   * write is not certain to have been committed.
   */
  async register(
    member: wire.MeshMember,
  ): Promise<backingServices.Revision | undefined> {
    const key = PREFIX + member.host;
    const outcome = await this.table.transact({
      conditions: [],
      writes: [backingServices.putRow(key, JSON.stringify(member))],
    });
    return outcome.kind === backingServices.OutcomeKind.Committed
      ? outcome.revisions[key]
      : undefined;
  }

  /** Reads all registered entries and the confirmed epoch. */
  async read(): Promise<
    neverthrow.Result<MemberRow[], backingServices.TableUnavailable>
  > {
    const rows = await this.table.range({
      from: CONFIRMED_EPOCH_KEY,
      to: PREFIX_END,
      limit: MAX_ROWS,
    });
    return rows.map((found) => {
      const confirmed = found.find(({ key }) => key === CONFIRMED_EPOCH_KEY);
      this.#confirmedEpoch = confirmed ? epochOf(confirmed.value) : Infinity;
      return found
        .filter(({ key }) => key.startsWith(PREFIX))
        .flatMap((row) => this.#readRow(row) ?? []);
    });
  }

  /** The entry of a row; `undefined` if the row names none. */
  #readRow({
    key,
    value,
    revision,
  }: backingServices.Row): MemberRow | undefined {
    const named = MEMBER.refine(
      ({ host }) => key === PREFIX + host,
      "write an entry under its own name",
    );
    const read = common.validateRow(named, value);
    if (read.isErr()) {
      this.#unreadable.note(key, value, read.error);
      return undefined;
    }
    return { member: read.value, revision };
  }

  /**
   * Removes an entry's row if it is still at the given revision. Without the
   * condition, a removal that takes effect late could delete the row of a new
   * process on the same host.
   */
  async remove(
    host: string,
    revision: backingServices.Revision,
  ): Promise<void> {
    const key = PREFIX + host;
    const conditions = [backingServices.atRevision(key, revision)];
    // The outcome is ignored: a row that stays only causes useless dialling.
    await common.withTimeout(
      this.table.transact({
        conditions,
        writes: [{ kind: backingServices.WriteKind.Delete, key }],
      }),
      REMOVE_TIMEOUT_MILLISECONDS,
    );
  }
}

/** A confirmed epoch; -1, for none, if the text is no epoch. */
function epochOf(text: string): number {
  const epoch = Number(text);
  return Number.isSafeInteger(epoch) ? epoch : -1;
}
