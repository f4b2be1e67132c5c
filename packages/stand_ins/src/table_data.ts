import * as backingServices from "@geraniumkeel/backing_services";

/** What a table holds at one moment. */
export interface TableCopy {
  rows: ReadonlyMap<string, backingServices.SentRow>;
  revision: number;
}

/** What became of a transaction, as it is sent. */
export type SentOutcome =
  | { kind: "committed"; revisions: Record<string, number> }
  | { kind: "conflict"; rows: backingServices.SentRow[] };

/** Rows of the table stand-in, with transactions that are atomic by nature. */
export class TableData {
  #rows = new Map<string, backingServices.SentRow>();
  #revision = 0;
  /** Number of the epoch that answers tell. */
  epoch = 1;
  /** Nobody is answered. */
  away = false;
  reads = 0;
  writes = 0;

  /** One row. */
  get(key: string): backingServices.SentRow | undefined {
    this.reads++;
    return this.#rows.get(key);
  }

  /** Rows with `from` <= key < `to`, in key order. */
  range(from: string, to: string, limit: number): backingServices.SentRow[] {
    this.reads++;
    const keys = [...this.#rows.keys()].filter(
      (key) => key >= from && key < to,
    );
    return keys
      .sort()
      .slice(0, limit)
      .flatMap((key) => this.#rows.get(key) ?? []);
  }

  /** Commits a transaction or reports the rows in conflict. */
  transact(transaction: backingServices.SentTransaction): SentOutcome {
    this.writes++;
    const failed = transaction.conditions.filter((one) => !this.#holds(one));
    if (failed.length > 0) {
      const rows = failed.flatMap(({ key }) => this.#rows.get(key) ?? []);
      return { kind: "conflict", rows };
    }
    const revisions: Record<string, number> = {};
    for (const write of transaction.writes) {
      switch (write.kind) {
        case backingServices.WriteKind.Put: {
          const { key, value } = write;
          const revision = ++this.#revision;
          this.#rows.set(key, { key, revision, value });
          revisions[key] = revision;
          break;
        }
        case backingServices.WriteKind.Delete:
          this.#rows.delete(write.key);
          break;
      }
    }
    return { kind: "committed", revisions };
  }

  /** What the table holds now, to come back to. */
  copy(): TableCopy {
    return { rows: new Map(this.#rows), revision: this.#revision };
  }

  /** Comes back from a copy: what was written since is gone, numbers go back. */
  comeBackFrom({ rows, revision }: TableCopy): void {
    this.#rows = new Map(rows);
    this.#revision = revision;
    this.epoch++;
  }

  #holds(condition: backingServices.SentCondition): boolean {
    const row = this.#rows.get(condition.key);
    switch (condition.kind) {
      case backingServices.ConditionKind.Absent:
        return row === undefined;
      case backingServices.ConditionKind.AtRevision:
        return row?.revision === condition.revision;
    }
  }
}
