import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import type * as wire from "@geraniumkeel/wire";
import type * as neverthrow from "neverthrow";

const PREFIX = "entry/";
/** First key behind all keys with the prefix. */
const PREFIX_END = "entry0";
/** Entries read at once; the target is 330. */
const MOST_MEMBERS = 1_000;

/** Time for which a stopping process waits for the store. */
const REMOVE_TIMEOUT_MILLISECONDS = 500;

/** An entry's row, with the revision to remove it at. */
export interface MemberRow {
  member: wire.MeshMember;
  revision: number;
}

/** Entries as they registered themselves in the table service. */
export class MemberRows {
  constructor(readonly table: backingServices.TableService) {}

  /** Registers an entry; the revision of its row once it is certain. */
  async register(member: wire.MeshMember): Promise<number | undefined> {
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
      from: PREFIX,
      to: PREFIX_END,
      limit: MOST_MEMBERS,
    });
    return rows.map((found) =>
      found.map(({ value, revision }) => ({
        member: JSON.parse(value) as wire.MeshMember,
        revision,
      })),
    );
  }

  /**
   * Removes an entry's row, if it is still at a revision: a removal that takes
   * effect late must not take the row of a successor of the same name.
   */
  async remove(host: string, revision: number): Promise<void> {
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
