import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as neverthrow from "neverthrow";

const PREFIX = "entry/";
/** First key behind all keys with the prefix. */
const PREFIX_END = "entry0";
/**
 * Row with the epoch of the table in which its configuration was last found to be the
 * newest. It lies just before the entries, so that one call reads all.
 */
const CONFIRMED_EPOCH_KEY = "entry-epoch";
/** Rows read at once; the target is 330 entries. */
const MAX_ROWS = 1_000;

/** Time for which a stopping process waits for the store. */
const REMOVE_TIMEOUT_MILLISECONDS = 500;

/** An entry's row, with the revision to remove it at. */
export interface MemberRow {
  member: wire.MeshMember;
  revision: backingServices.Revision;
}

/** Entries as they registered themselves in the table service. */
export class MemberRows {
  #confirmedEpoch: number | undefined;

  constructor(readonly table: backingServices.TableService) {}

  /** The epoch of the table that has them. */
  get epoch(): backingServices.TableEpoch {
    return this.table.epoch;
  }

  /**
   * Epoch in which the table's configuration was last confirmed, as last read or
   * written; infinite without a row, -1 before it was read.
   */
  get confirmedEpoch(): number {
    return this.#confirmedEpoch ?? -1;
  }

  /** Confirms that the table's configuration is the newest in an epoch. */
  async confirmEpoch(epoch: number): Promise<void> {
    const outcome = await this.table.transact({
      conditions: [],
      writes: [backingServices.putRow(CONFIRMED_EPOCH_KEY, String(epoch))],
    });
    if (outcome.kind !== backingServices.OutcomeKind.Committed) return;
    this.#confirmedEpoch = outcome.revisions[CONFIRMED_EPOCH_KEY].epoch;
  }

  /** Registers an entry; the revision of its row once it is certain. */
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

  /** All registered entries. */
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
      this.#confirmedEpoch = confirmed ? Number(confirmed.value) : Infinity;
      return found
        .filter(({ key }) => key.startsWith(PREFIX))
        .map(({ value, revision }) => ({
          member: JSON.parse(value) as wire.MeshMember,
          revision,
        }));
    });
  }

  /**
   * Removes an entry's row, if it is still at a revision: a removal that takes
   * effect late must not take the row of a successor of the same name.
   */
  async remove(
    host: string,
    revision: backingServices.Revision,
  ): Promise<void> {
    const key = PREFIX + host;
    const conditions = [backingServices.atRevision(key, revision)];
    // Whatever comes of it: a row that stays is dialled in vain, no more.
    await common.withTimeout(
      this.table.transact({
        conditions,
        writes: [{ kind: backingServices.WriteKind.Delete, key }],
      }),
      REMOVE_TIMEOUT_MILLISECONDS,
    );
  }
}
