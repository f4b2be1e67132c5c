import * as platform from "@geraniumkeel/platform";

/** Rows of the table stand-in, with transactions that are atomic by nature. */
export class TableData {
  readonly #rows = new Map<string, platform.Row>();
  #revision = 0;
  reads = 0;
  writes = 0;

  /** One row. */
  get(key: string): platform.Row | undefined {
    this.reads++;
    return this.#rows.get(key);
  }

  /** Rows with `from` <= key < `to`, in key order. */
  range(from: string, to: string, limit: number): platform.Row[] {
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
  transact(transaction: platform.Transaction): platform.TransactionOutcome {
    this.writes++;
    const failed = transaction.conditions.filter((one) => !this.#holds(one));
    if (failed.length > 0) {
      const rows = failed.flatMap(({ key }) => this.#rows.get(key) ?? []);
      return { kind: platform.OutcomeKind.Conflict, rows };
    }
    const revisions: Record<string, number> = {};
    for (const write of transaction.writes) {
      switch (write.kind) {
        case platform.WriteKind.Put: {
          const { key, value } = write;
          const revision = ++this.#revision;
          this.#rows.set(key, { key, revision, value });
          revisions[key] = revision;
          break;
        }
        case platform.WriteKind.Delete:
          this.#rows.delete(write.key);
          break;
      }
    }
    return { kind: platform.OutcomeKind.Committed, revisions };
  }

  #holds(condition: platform.Condition): boolean {
    const row = this.#rows.get(condition.key);
    switch (condition.kind) {
      case platform.ConditionKind.Absent:
        return row === undefined;
      case platform.ConditionKind.AtRevision:
        return row?.revision === condition.revision;
    }
  }
}
