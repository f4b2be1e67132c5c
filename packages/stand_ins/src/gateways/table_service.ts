import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as tableData from "../table_data.ts";

/** A table service in this process, as one of its clients sees it. */
export class MemoryTable implements backingServices.TableService {
  readonly epoch: backingServices.TableEpoch;

  constructor(
    readonly data: tableData.TableData,
    logger: common.Logger,
  ) {
    this.epoch = new backingServices.TableEpoch(logger);
  }

  /** Reads one row. */
  async get(
    key: string,
  ): Promise<
    neverthrow.Result<
      backingServices.Row | undefined,
      backingServices.TableUnavailable
    >
  > {
    const rows = await this.range({ from: key, to: `${key}\0`, limit: 1 });
    return rows.map((found) => found.at(0));
  }

  /** Reads rows in key order. */
  async range(parameters: {
    from: string;
    to: string;
    limit: number;
  }): Promise<
    neverthrow.Result<backingServices.Row[], backingServices.TableUnavailable>
  > {
    if (this.data.away) {
      return neverthrow.err({ kind: "table-unavailable", reason: "away" });
    }
    this.#noteEpoch();
    const { from, to, limit } = parameters;
    const rows = this.data.range(from, to, limit);
    return neverthrow.ok(rows.map((row) => this.#rowOf(row)));
  }

  /** Commits a transaction, or says what is known of it. */
  transact(
    transaction: backingServices.Transaction,
  ): Promise<backingServices.TransactionOutcome> {
    const { epoch } = this;
    const send = async () => ({
      outcome: this.#commit(transaction),
      epoch: String(this.data.epoch),
      answered: !this.data.away,
    });
    return backingServices.transactInEpoch({ epoch, transaction, send });
  }

  #commit(
    transaction: backingServices.Transaction,
  ): backingServices.TransactionOutcome {
    if (this.data.away) {
      return { kind: backingServices.OutcomeKind.Unavailable, reason: "away" };
    }
    const sent = backingServices.encodeTransaction(transaction);
    const outcome = this.data.transact(sent);
    switch (outcome.kind) {
      case "conflict": {
        const rows = outcome.rows.map((row) => this.#rowOf(row));
        return { kind: backingServices.OutcomeKind.Conflict, rows };
      }
      case "committed": {
        const revisions: Record<string, backingServices.Revision> = {};
        for (const [key, number] of Object.entries(outcome.revisions)) {
          revisions[key] = { epoch: this.data.epoch, number };
        }
        return { kind: backingServices.OutcomeKind.Committed, revisions };
      }
    }
  }

  #rowOf(row: backingServices.SentRow): backingServices.Row {
    const { epoch } = this.data;
    return { ...row, revision: { epoch, number: row.revision } };
  }

  #noteEpoch(): void {
    this.epoch.note(String(this.data.epoch), common.now());
  }
}

/** Creates an empty table, as one process sees it. */
export function createTable(
  data = new tableData.TableData(),
  logger: common.Logger = new common.RecordingLogger(),
): MemoryTable {
  return new MemoryTable(data, logger);
}
