import * as ava from "ava";
import * as pendingDispatches from "./pending_dispatches.ts";

const test = ava.default;

test("a reservation counts until its release, and a second release has no effect", (t) => {
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

test("a dispatch counts until a load report includes it", (t) => {
  const pending = new pendingDispatches.PendingDispatches();
  pending.add(10);
  pending.add(5);
  pending.removeReported(1);
  t.is(pending.count, 1);
  t.is(pending.promptTokens, 5);
});

// A new link to a runner counts dispatches from 0 again, but a request with a
// reservation is still about to be dispatched. If its reservation were lost,
// the runner would be sent more than it has capacity for.
test("a new link drops pending dispatches but not reservations", (t) => {
  const pending = new pendingDispatches.PendingDispatches();
  pending.add(10);
  const reservation = pending.reserve(5);
  pending.reset();
  t.is(pending.count, 1);
  reservation.release();
  t.is(pending.count, 0);
});
