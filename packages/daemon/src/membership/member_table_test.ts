import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as memberTable from "./member_table.ts";

const test = ava.default;

function fixture(start: { host?: string; wallClock?: number } = {}): {
  table: memberTable.MemberTable;
  advance: (milliseconds: number) => void;
} {
  let now = 0;
  const self = {
    host: start.host ?? "self",
    incarnation: "one",
    place: "here",
    callerUrl: "",
    peerUrl: "",
  };
  const table = new memberTable.MemberTable(
    self,
    () => now,
    () => start.wallClock ?? 1_000,
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

test("an older record never replaces a newer one", (t) => {
  const { table } = fixture();
  t.true(table.merge(member({ counter: 5 })));
  t.false(table.merge(member({ counter: 4, revision: 9 })));
  t.is(table.get("other")?.revision, 0);
});

// One neighbour cannot reach a member and suspects it. The member is alive,
// receives the suspicion, and refutes it by a record with a higher counter.
test("a suspicion is refuted by the member itself", (t) => {
  const { table } = fixture();
  table.merge(member());
  table.suspect("other");
  t.is(table.get("other")?.state, wire.MemberState.Suspect);
  t.true(table.merge(member({ counter: 6 })));
  t.is(table.get("other")?.state, wire.MemberState.Alive);
});

test("a suspicion about this process raises its own counter", (t) => {
  const { table } = fixture();
  const { counter } = table.self;
  table.merge({ ...table.self, state: wire.MemberState.Suspect });
  t.is(table.self.counter, counter + 1);
  t.is(table.self.state, wire.MemberState.Alive);
});

// The host was replaced and its clock was set back, so the record of the
// earlier process outranks that of the new one until the new one raises its own
// counter.
test("a new process on a host outranks the record of the earlier one", (t) => {
  const { table } = fixture();
  const counter = table.self.counter + 1_000;
  table.merge({ ...table.self, incarnation: "zero", counter });
  t.true(table.self.counter > counter);
  t.is(table.get("self")?.incarnation, "one");
});

test("a suspect that does not refute becomes departed and is later deleted", (t) => {
  const { table, advance } = fixture();
  table.merge(member());
  table.suspect("other");
  advance(1_001);
  table.expire(1_000);
  t.is(table.get("other")?.state, wire.MemberState.Gone);
  t.is(table.present.length, 1);
  advance(200_000);
  table.expire(1_000);
  t.is(table.get("other"), undefined);
});

test("tables with equal records have equal digests, whatever the revisions", (t) => {
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

// Two processes with the same host name started at different times. Neither
// takes the other's record for its own, so their digests differ.
test("tables whose own records differ only in the counter have other digests", (t) => {
  for (const wallClock of [999, 1_001]) {
    const { table: one } = fixture();
    const { table: two } = fixture({ wallClock });
    two.merge(one.self);
    t.not(one.digest, two.digest);
  }
});
