import * as ava from "ava";
import * as pendingDispatches from "./pending_dispatches.ts";

const test = ava.default;

test("a reservation counts until it is released, and only once", (t) => {
  const pending = new pendingDispatches.PendingDispatches();
  const first = pending.reserve(10);
  pending.reserve(5);
  t.is(pending.count, 2);
  t.is(pending.promptTokens, 15);
  first.release();
  first.release();
  t.is(pending.count, 1);
  t.is(pending.promptTokens, 5);
});

test("a dispatch counts until a report includes it", (t) => {
  const pending = new pendingDispatches.PendingDispatches();
  pending.add(10);
  pending.add(5);
  pending.removeReported(1);
  t.is(pending.count, 1);
  t.is(pending.promptTokens, 5);
});

// The link to a runner is replaced. Its dispatches are counted anew, but a
// request that holds a place is still about to come.
test("a new link forgets dispatches and keeps reservations", (t) => {
  const pending = new pendingDispatches.PendingDispatches();
  pending.add(10);
  const reservation = pending.reserve(5);
  pending.reset();
  t.is(pending.count, 1);
  reservation.release();
  t.is(pending.count, 0);
});
