import * as ava from "ava";
import * as common from "@geraniumkeel/common";
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

// Where each caller has a timeout of its own, first tries counted as retries of
// up to a quarter of the timeout, and requests in time ranked behind late ones.
test("callers whose timeouts differ among themselves have spent no time", (t) => {
  const history = new timeoutHistory.TimeoutHistory();
  const random = new common.Random(1);
  const variedTimeout = () => random.between(6_800, 9_200);
  for (let count = 0; count < 50; count++)
    spentBefore(history, variedTimeout());
  const firstTries = Array.from({ length: 200 }, () =>
    spentBefore(history, variedTimeout()),
  );
  const mistaken = firstTries.filter((spent) => spent > 0).length;
  t.true(mistaken < firstTries.length / 10, String(mistaken));
  t.true(spentBefore(history, 4_000) > 3_000);
});
