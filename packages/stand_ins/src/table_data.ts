import * as backingServices from "@geraniumkeel/backing_services";

/** Rows of the table stand-in, with transactions that are atomic by nature. */
export class TableData {
  readonly #rows = new Map<string, backingServices.Row>();
  #revision = 0;
  reads = 0;
  writes = 0;

  /** One row. */
  get(key: string): backingServices.Row | undefined {
    this.reads++;
    return this.#rows.get(key);
  }

  /** Rows with `from` <= key < `to`, in key order. */
  range(from: string, to: string, limit: number): backingServices.Row[] {
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
  transact(
    transaction: backingServices.Transaction,
  ): backingServices.TransactionOutcome {
    this.writes++;
    const failed = transaction.conditions.filter((one) => !this.#holds(one));
    if (failed.length > 0) {
      const rows = failed.flatMap(({ key }) => this.#rows.get(key) ?? []);
      return { kind: backingServices.OutcomeKind.Conflict, rows };
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
    return { kind: backingServices.OutcomeKind.Committed, revisions };
  }

  #holds(condition: backingServices.Condition): boolean {
    const row = this.#rows.get(condition.key);
    switch (condition.kind) {
      case backingServices.ConditionKind.Absent:
        return row === undefined;
      case backingServices.ConditionKind.AtRevision:
        return row?.revision === condition.revision;
    }
  }
}
