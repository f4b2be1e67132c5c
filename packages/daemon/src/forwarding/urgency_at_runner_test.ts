import * as ava from "ava";
import * as urgencyAtRunner from "./urgency_at_runner.ts";

const test = ava.default;

function urgencyAfter(elapsedMilliseconds: number, urgency = 1): number {
  return urgencyAtRunner.urgencyAtRunner({
    urgency,
    elapsedMilliseconds,
    objectiveMilliseconds: 400,
  });
}

// The backlog of an outage is late in any case; the requests after it are not.
test("late requests are less urgent than those that may be in time", (t) => {
  t.true(urgencyAfter(900) > urgencyAfter(20));
  t.is(urgencyAfter(20), 1);
});

test("late requests keep their order of urgency, down to the lowest", (t) => {
  t.true(urgencyAfter(900, 1) < urgencyAfter(900, 2));
  t.is(urgencyAfter(900, 9), 9);
});
