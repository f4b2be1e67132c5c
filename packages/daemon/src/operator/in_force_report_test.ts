import * as ava from "ava";
import * as wire from "@geraniumkeel/wire";
import * as inForceReport from "./in_force_report.ts";

const test = ava.default;
const GONE_AFTER = 5_000;

function member(change: Partial<wire.Member>): wire.Member {
  return {
    host: "one",
    incarnation: "a",
    place: "here",
    callerUrl: "",
    peerUrl: "",
    state: wire.MemberState.Alive,
    counter: 1,
    revision: 2,
    weight: 1,
    ...change,
  };
}

function report(
  change: Partial<inForceReport.InForceParameters>,
): inForceReport.InForceReport {
  return inForceReport.inForceReport({
    revision: 2,
    members: [member({})],
    listed: [{ name: "one", appearedAt: 0 }],
    now: 1_000,
    goneAfterMilliseconds: GONE_AFTER,
    ...change,
  });
}

// An operator switches preset right after a start. The first entry has heard of
// nobody yet; the second is in the platform's list and may come up any moment
// with what it read from the store before the switch.
test("an entry that is listed but not heard yet is not passed over", (t) => {
  const listed = ["one", "two"].map((name) => ({ name, appearedAt: 0 }));
  const early = report({ listed });
  t.false(early.everywhere);
  t.deepEqual(early.notReached, ["two"]);
  const members = [member({}), member({ host: "two" })];
  t.true(report({ listed, members }).everywhere);
});

// The list lags: a dead host stays in it for minutes. It must not hold up each
// report, but the operator is told of it.
test("a listed entry that stays silent is told apart", (t) => {
  const listed = ["one", "two"].map((name) => ({ name, appearedAt: 0 }));
  const late = report({ listed, now: GONE_AFTER });
  t.true(late.everywhere);
  t.deepEqual(late.unheard, ["two"]);
  const gone = member({ host: "two", state: wire.MemberState.Departed });
  t.deepEqual(report({ listed, members: [member({}), gone] }).unheard, ["two"]);
});

test("an entry at an older revision is not reached", (t) => {
  const members = [member({}), member({ host: "two", revision: 1 })];
  t.deepEqual(report({ members }).notReached, ["two"]);
  t.false(report({ members }).everywhere);
});

test("before the list was read, nothing is said of everywhere", (t) => {
  t.false(report({ listed: undefined }).everywhere);
});
