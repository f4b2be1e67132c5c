import * as ava from "ava";
import * as timeoutHistory from "./timeout_history.ts";

const test = ava.default;

function spentBefore(
  record: timeoutHistory.TimeoutHistory,
  timeoutMilliseconds: number,
  account = "branch",
): number {
  return record.spentBefore({
    route: "drafts",
    account,
    timeoutMilliseconds,
  });
}

// Callers whose answers broke off come back in one rush with those that ask for the
// first time. The former are late whatever happens; told apart by their shorter
// patience, they do not make the latter late as well.
test("a caller that comes back has spent what its patience lacks", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 5_500), 2_500);
  t.is(spentBefore(history, 8_000), 0);
});

// A branch whose phones never wait long must not rank behind all others for it.
test("an account that is always impatient has spent nothing", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 1_500, "phones"), 0);
  t.is(spentBefore(history, 1_500, "phones"), 0);
});

test("the first that comes back after a start is taken for new", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 5_000), 0);
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 5_000), 3_000);
});
