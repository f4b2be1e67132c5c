import type * as neverthrow from "neverthrow";

/** A row of the table service; `revision` grows with every write to the key. */
export interface Row {
  key: string;
  revision: number;
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
  | { kind: ConditionKind.AtRevision; key: string; revision: number };

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
  revision: number | undefined,
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
}

/**
 * What became of a transaction. `Unavailable`: it certainly took no effect.
 * `Unknown`: the answer was lost and it may take effect, even later.
 */
export type TransactionOutcome =
  | { kind: OutcomeKind.Committed; revisions: Record<string, number> }
  | { kind: OutcomeKind.Conflict; rows: Row[] }
  | { kind: OutcomeKind.Unavailable; reason: string }
  | { kind: OutcomeKind.Unknown; reason: string };

/** A read that got no answer. */
export interface TableUnavailable {
  kind: "table-unavailable";
  reason: string;
}

/** The platform's transactional table service. */
export interface TableService {
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
