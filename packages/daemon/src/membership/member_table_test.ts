import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as memberTable from "./member_table.ts";

const test = ava.default;

/**
 * A table of a process on host `host`, by default "self". `wallClock` is the
 * wall-clock time at its start, at which the counter of its own record starts.
 * `advance` advances the clock by which the table measures durations.
 */
function fixture(options: { host?: string; wallClock?: number } = {}): {
  table: memberTable.MemberTable;
  advance: (milliseconds: number) => void;
} {
  let now = 0;
  const self = {
    host: options.host ?? "self",
    incarnation: "one",
    place: "here",
    callerUrl: "",
    peerUrl: "",
  };
  const table = new memberTable.MemberTable(
    self,
    () => now,
    () => options.wallClock ?? 1_000,
  );
  return { table, advance: (milliseconds) => (now += milliseconds) };
}

function member(change: Partial<wire.Member> = {}): wire.Member {
  return {
    host: "other",
    incarnation: "a",
    place: "there",
    callerUrl: "",
    peerUrl: "",
    state: wire.MemberState.Alive,
    counter: 5,
    revision: 0,
    weight: 1,
    ...change,
  };
}

// The counter decides which record is newer, not the revision of the
// configuration that the member had in force.
test("a record with a lower counter never replaces one with a higher counter", (t) => {
  const { table } = fixture();
  t.true(table.merge(member({ counter: 5 })));
  t.false(table.merge(member({ counter: 4, revision: 9 })));
  t.is(table.get("other")?.revision, 0);
});

// This process cannot reach a member and marks it as suspect. The member is
// alive, receives the suspicion by gossip, and refutes it by a record with a
// higher counter.
test("a member refutes a suspicion by a record with a higher counter", (t) => {
  const { table } = fixture();
  table.merge(member());
  table.suspect("other");
  t.is(table.get("other")?.state, wire.MemberState.Suspect);
  t.true(table.merge(member({ counter: 6 })));
  t.is(table.get("other")?.state, wire.MemberState.Alive);
});

test("a process that receives a suspicion about itself raises the counter of its record", (t) => {
  const { table } = fixture();
  const { counter } = table.self;
  table.merge({ ...table.self, state: wire.MemberState.Suspect });
  t.is(table.self.counter, counter + 1);
  t.is(table.self.state, wire.MemberState.Alive);
});

// A process's counter starts at the wall-clock time. If the clock of the host
// was set back between two processes, the new one starts with a lower counter
// than the earlier one had, and must raise it.
test("a new process raises its counter above that in the earlier process's record", (t) => {
  const { table } = fixture();
  const counter = table.self.counter + 1_000;
  table.merge({ ...table.self, incarnation: "zero", counter });
  t.true(table.self.counter > counter);
  t.is(table.get("self")?.incarnation, "one");
});

// The suspicion lasts 1 s; the table retains a departed member for 120 s.
test("a suspect member that does not refute the suspicion departs and is later deleted", (t) => {
  const { table, advance } = fixture();
  table.merge(member());
  table.suspect("other");
  advance(1_001);
  table.expire(1_000);
  t.is(table.get("other")?.state, wire.MemberState.Departed);
  t.is(table.present.length, 1);
  advance(200_000);
  table.expire(1_000);
  t.is(table.get("other"), undefined);
});

// First table one lacks the record of process two, so the digests differ. Then
// the records are equal except for the revisions of the configuration.
test("tables with equal records have equal digests, even if the revisions differ", (t) => {
  const { table: one } = fixture({ host: "one", wallClock: 1_000 });
  const { table: two } = fixture({ host: "two", wallClock: 2_000 });
  one.merge(member({ revision: 1 }));
  two.merge(member({ revision: 2 }));
  for (const record of one.all) two.merge(record);
  t.not(one.digest, two.digest);
  for (const record of two.all) one.merge(record);
  two.noteRevision(7);
  t.is(one.digest, two.digest);
});

// Two processes with the same host name and incarnation started at different
// times, so that their own records differ only in the counter. Neither replaces
// its own record by that of the other process.
test("two processes whose own records differ only in the counter have different digests", (t) => {
  for (const wallClock of [999, 1_001]) {
    const { table: one } = fixture();
    const { table: two } = fixture({ wallClock });
    two.merge(one.self);
    t.not(one.digest, two.digest);
  }
});
