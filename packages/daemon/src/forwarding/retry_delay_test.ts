import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as retryDelay from "./retry_delay.ts";

const test = ava.default;

// A group is lost and takes two seconds to re-form. A hundred callers are
// refused in the second in which it is lost. Nearly all of them must retry
// after the group is back, not all at once, and while they still have time.
test("callers refused by a lost group retry after it is back, spread over time", (t) => {
  const random = new common.Random(1);
  const delays = Array.from({ length: 100 }, () =>
    retryDelay.retryDelayMilliseconds(7_900, random),
  );
  t.true(Math.min(...delays) >= 1_500);
  t.true(Math.max(...delays) <= 7_900 / 3);
  t.true(Math.max(...delays) - Math.min(...delays) > 700);
});

test("a caller with little time left gets the minimum retry delay", (t) => {
  const random = new common.Random(1);
  t.is(retryDelay.retryDelayMilliseconds(300, random), 250);
});
