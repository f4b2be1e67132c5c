import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as attemptTable from "./attempt_table.ts";

const test = ava.default;
const INCARNATION = "incarnation-one";

function fixture(): {
  table: attemptTable.AttemptTable;
  advance: (milliseconds: number) => void;
} {
  let now = 1_000;
  const table = new attemptTable.AttemptTable(INCARNATION, () => now);
  return { table, advance: (milliseconds) => (now += milliseconds) };
}

function attempt(change: Partial<wire.Attempt> = {}): wire.Attempt {
  return {
    identifier: "request/1",
    agentIncarnation: INCARNATION,
    issuedAt: 1_000,
    ...change,
  };
}

// The caller was told by another entry that its request did not run. Then the
// first entry, which was only paused, sends it. Running it now would make the
// answer a lie, so the tombstone refuses it.
test("a tombstoned attempt is refused when it arrives after all", (t) => {
  const { table } = fixture();
  t.is(table.settle(attempt()), wire.AttemptState.NeverStarted);
  t.deepEqual(table.admit(attempt()), {
    admitted: false,
    reason: wire.RefusalReason.Tombstoned,
  });
});

// An entry is paused between deciding and sending, for longer than tombstones
// are kept. When its dispatch arrives, nobody remembers the tombstone: the age
// by this process's own clock refuses it.
test("a dispatch older than the validity is refused", (t) => {
  const { table, advance } = fixture();
  advance(attemptTable.DISPATCH_VALIDITY_MILLISECONDS + 1);
  t.deepEqual(table.admit(attempt()), {
    admitted: false,
    reason: wire.RefusalReason.TooOld,
  });
});

// The process was replaced: it knows nothing of what its predecessor ran, so it
// must not call an attempt of the predecessor never started.
test("an attempt of another incarnation is refused and not settled", (t) => {
  const { table } = fixture();
  const old = attempt({ agentIncarnation: "incarnation-zero" });
  t.deepEqual(table.admit(old), {
    admitted: false,
    reason: wire.RefusalReason.OldIncarnation,
  });
  t.is(table.settle(old), wire.AttemptState.Forgotten);
});

test("an unknown attempt past the retention may have run", (t) => {
  const { table, advance } = fixture();
  advance(attemptTable.RETENTION_MILLISECONDS + 1);
  t.is(table.settle(attempt()), wire.AttemptState.Forgotten);
});

test("tombstones outlive the validity and are then dropped", (t) => {
  const { table, advance } = fixture();
  table.settle(attempt());
  advance(attemptTable.DISPATCH_VALIDITY_MILLISECONDS + 1);
  table.sweep();
  t.is(table.tombstones, 1);
  advance(2 * attemptTable.RETENTION_MILLISECONDS);
  table.sweep();
  t.is(table.tombstones, 0);
});
