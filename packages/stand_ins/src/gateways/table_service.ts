import * as backingServices from "@geraniumkeel/backing_services";
import * as neverthrow from "neverthrow";
import * as tableData from "../table_data.ts";

/** A table service in this process; `away` has it answer nothing. */
export interface MemoryTable extends backingServices.TableService {
  readonly data: tableData.TableData;
  away: boolean;
}

/** Creates an empty table. */
export function createTable(): MemoryTable {
  const data = new tableData.TableData();
  const unavailable = { kind: "table-unavailable", reason: "away" } as const;
  const table: MemoryTable = {
    data,
    away: false,
    get: async (key) =>
      table.away ? neverthrow.err(unavailable) : neverthrow.ok(data.get(key)),
    range: async ({ from, to, limit }) =>
      table.away
        ? neverthrow.err(unavailable)
        : neverthrow.ok(data.range(from, to, limit)),
    transact: async (transaction) =>
      table.away
        ? { kind: backingServices.OutcomeKind.Unavailable, reason: "away" }
        : data.transact(transaction),
  };
  return table;
}
