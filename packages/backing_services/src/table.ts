import type * as neverthrow from "neverthrow";
import type * as revisionModule from "./revision.ts";
import type * as tableEpoch from "./table_epoch.ts";

/** A row of the table service; `revision` grows with every write in an epoch. */
export interface Row {
  key: string;
  revision: revisionModule.Revision;
  value: string;
}

/** Kinds of condition in a transaction. */
export enum ConditionKind {
  Absent = "absent",
  AtRevision = "at-revision",
}

/** What must hold of a row for a transaction to commit. */
export type Condition =
  | { kind: ConditionKind.Absent; key: string }
  | {
      kind: ConditionKind.AtRevision;
      key: string;
      revision: revisionModule.Revision;
    };

/** Kinds of write in a transaction. */
export enum WriteKind {
  Put = "put",
  Delete = "delete",
}

/** One write of a transaction. */
export type Write =
  | { kind: WriteKind.Put; key: string; value: string }
  | { kind: WriteKind.Delete; key: string };

/** That a row is at a revision, or absent if there is none to be based on. */
export function atRevision(
  key: string,
  revision: revisionModule.Revision | undefined,
): Condition {
  return revision === undefined
    ? { kind: ConditionKind.Absent, key }
    : { kind: ConditionKind.AtRevision, key, revision };
}

/** A write of a row. */
export function putRow(key: string, value: string): Write {
  return { kind: WriteKind.Put, key, value };
}

/** Conditions and writes that take effect together or not at all. */
export interface Transaction {
  conditions: Condition[];
  writes: Write[];
}

/** Kinds of outcome of a transaction. */
export enum OutcomeKind {
  Committed = "committed",
  Conflict = "conflict",
  Unavailable = "unavailable",
  Unknown = "unknown",
  PastEpoch = "past-epoch",
}

/**
 * What became of a transaction. `Unavailable`: it certainly took no effect.
 * `Unknown`: the answer was lost and it may take effect, even later. `PastEpoch`: a
 * condition is of an epoch of the table that is over; read the rows again.
 */
export type TransactionOutcome =
  | {
      kind: OutcomeKind.Committed;
      revisions: Record<string, revisionModule.Revision>;
    }
  | { kind: OutcomeKind.Conflict; rows: Row[] }
  | { kind: OutcomeKind.Unavailable; reason: string }
  | { kind: OutcomeKind.Unknown; reason: string }
  | { kind: OutcomeKind.PastEpoch; reason: string };

/** A read that got no answer. */
export interface TableUnavailable {
  kind: "table-unavailable";
  reason: string;
}

/** The platform's transactional table service. */
export interface TableService {
  /** The epoch of the table, as its latest answer told it. */
  readonly epoch: tableEpoch.TableEpoch;
  get(
    key: string,
  ): Promise<neverthrow.Result<Row | undefined, TableUnavailable>>;
  /** Rows with `from` <= key < `to`, in key order. */
  range(parameters: {
    from: string;
    to: string;
    limit: number;
  }): Promise<neverthrow.Result<Row[], TableUnavailable>>;
  transact(transaction: Transaction): Promise<TransactionOutcome>;
}
