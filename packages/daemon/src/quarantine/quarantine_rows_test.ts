import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as quarantineRows from "./quarantine_rows.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

const test = ava.default;

/** A table in memory whose first `failures` writes fail. */
class MemoryTable implements backingServices.TableService {
  readonly epoch = new backingServices.TableEpoch(new common.RecordingLogger());
  readonly rows = new Map<string, string>();

  constructor(private failures: number) {}

  async get(): Promise<neverthrow.Result<undefined, never>> {
    return neverthrow.ok(undefined);
  }

  async range(): Promise<neverthrow.Result<backingServices.Row[], never>> {
    const rows = [...this.rows].map(([key, value]) => {
      return { key, value, revision: { epoch: 0, number: 1 } };
    });
    return neverthrow.ok(rows);
  }

  async transact({
    writes,
  }: backingServices.Transaction): Promise<backingServices.TransactionOutcome> {
    if (this.failures-- > 0) {
      return { kind: backingServices.OutcomeKind.Unavailable, reason: "away" };
    }
    for (const write of writes) {
      if (write.kind === backingServices.WriteKind.Put) {
        this.rows.set(write.key, write.value);
      } else this.rows.delete(write.key);
    }
    return { kind: backingServices.OutcomeKind.Committed, revisions: {} };
  }
}

function createRows(table: MemoryTable): quarantineRows.QuarantineRows {
  const random = new common.Random(1);
  const logger = new common.RecordingLogger();
  const metrics = common.discardMetrics();
  return new quarantineRows.QuarantineRows({ table, random, logger, metrics });
}

function reportOf(number: number): suspectLedger.CrashReport {
  const endedAt = common.now() - 10_000 + 100 * number;
  return {
    life: `life-${number}`,
    runner: `i-${number}`,
    service: "s",
    version: "1",
    endedAt,
    seenBy: ["a"],
    disproved: false,
    suspicions: [{ fingerprint: "f", startedAt: endedAt - 50, cleared: false }],
  };
}

const { signal } = new AbortController();

test("a stored crash is read back with its time and the duration of the run", async (t) => {
  const rows = createRows(new MemoryTable(0));
  const report = reportOf(1);
  await rows.store("f", [report], signal);
  const [read] = (await rows.read(signal)) ?? [];
  const { endedAt, suspicions } = report;
  t.deepEqual({ ...read, endedAt, suspicions }, report);
  // Stored times are rounded to milliseconds.
  t.true(Math.abs(read.endedAt - endedAt) < 1_000);
  t.is(read.suspicions[0].fingerprint, "f");
  t.is(Math.round(read.endedAt - read.suspicions[0].startedAt), 50);
});

// A retried write must not store the row of a request again that was released
// in the meantime.
test("a row that is removed while its write is retried stays removed", async (t) => {
  const table = new MemoryTable(1);
  const rows = createRows(table);
  const stored = rows.store("f", [reportOf(1)], signal);
  await Promise.all([stored, rows.remove("f", signal)]);
  t.is(table.rows.size, 0);
});

test("of several writes of a row the last one is stored", async (t) => {
  const rows = createRows(new MemoryTable(1));
  const reports = [reportOf(1), reportOf(2), reportOf(3)];
  const first = rows.store("f", reports.slice(0, 1), signal);
  await Promise.all([first, rows.store("f", reports, signal)]);
  t.is((await rows.read(signal))?.length, 3);
});
