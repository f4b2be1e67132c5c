import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as memberTable from "./member_table.ts";

const test = ava.default;

function fixture(): {
  table: memberTable.MemberTable;
  advance: (milliseconds: number) => void;
} {
  let now = 0;
  const self = {
    host: "self",
    incarnation: "one",
    place: "here",
    callerUrl: "",
    peerUrl: "",
  };
  const table = new memberTable.MemberTable(self, () => now);
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
  const { table: one } = fixture();
  const { table: two } = fixture();
  one.merge(member({ revision: 1 }));
  one.merge(member({ host: "third" }));
  two.merge(one.self);
  two.merge(member({ host: "third" }));
  t.not(one.digest, two.digest);
  two.merge(member({ revision: 2 }));
  t.is(one.digest, two.digest);
});
