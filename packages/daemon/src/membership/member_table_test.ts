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

// One neighbour cannot reach a member and suspects it; the member is well, hears
// of it, and says so itself with a higher counter.
test("a suspicion is refuted by the member itself", (t) => {
  const { table } = fixture();
  table.merge(member());
  table.suspect("other");
  t.is(table.get("other")?.state, wire.MemberState.Suspect);
  t.true(table.merge(member({ counter: 6 })));
  t.is(table.get("other")?.state, wire.MemberState.Alive);
});

test("a rumour about this process is answered with a higher counter", (t) => {
  const { table } = fixture();
  const { counter } = table.self;
  table.merge({ ...table.self, state: wire.MemberState.Suspect });
  t.is(table.self.counter, counter + 1);
  t.is(table.self.state, wire.MemberState.Alive);
});

// The host was replaced and its clock went back: the record of the predecessor
// outranks the new process, until that raises its own counter above it.
test("a predecessor's record is outranked by the replacement", (t) => {
  const { table } = fixture();
  const counter = table.self.counter + 1_000;
  table.merge({ ...table.self, incarnation: "zero", counter });
  t.true(table.self.counter > counter);
  t.is(table.get("self")?.incarnation, "one");
});

test("a suspect that does not refute is gone, and later forgotten", (t) => {
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

test("tables that know the same have one digest, whatever the revisions", (t) => {
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

// Two processes of one name started at different times: neither takes the
// record of the other for its own, so their digests differ until both told it.
test("a record of oneself with another counter never counts as the same", (t) => {
  for (const wallClock of [999, 1_001]) {
    const { table: one } = fixture();
    const { table: two } = fixture({ wallClock });
    two.merge(one.self);
    t.not(one.digest, two.digest);
  }
});
