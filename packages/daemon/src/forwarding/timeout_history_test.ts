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

// Callers whose answers broke off retry in one rush, together with callers that
// ask for the first time. The former are late in any case. Their shorter
// timeouts identify them, so that they do not make the latter late as well.
test("a retry has spent the usual timeout minus its own", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 5_500), 2_500);
  t.is(spentBefore(history, 8_000), 0);
});

// If short timeouts alone counted as time spent, an account whose phones never
// wait long would always rank behind all others.
test("an account whose timeouts are always short has spent no time", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 1_500, "phones"), 0);
  t.is(spentBefore(history, 1_500, "phones"), 0);
});

test("a retry counts as a first try until a longer timeout is known", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  t.is(spentBefore(history, 5_000), 0);
  t.is(spentBefore(history, 8_000), 0);
  t.is(spentBefore(history, 5_000), 3_000);
});
