import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as outstandingFromOthers from "./outstanding_from_others.ts";

const test = ava.default;

// Many entries report their counts several times a second, and entries come and
// go. If a sum were off by one entry's counts, its runner would look full, or
// empty, for ever.
test("the sums match the counts that all entries reported last", (t) => {
  const random = new common.Random(7);
  const fromOthers = new outstandingFromOthers.OutstandingFromOthers();
  const reported = new Map<string, Map<string, number>>();
  for (let round = 0; round < 500; round++) {
    const host = `entry-${random.below(20)}`;
    const departed = random.fraction() < 0.1;
    const counts = new Map(
      Array.from({ length: random.below(5) }, () => [
        `runner-${random.below(30)}`,
        1 + random.below(3),
      ]),
    );
    fromOthers.setCountsOf(host, departed ? undefined : counts);
    if (departed) reported.delete(host);
    else reported.set(host, counts);
  }
  for (let runner = 0; runner < 30; runner++) {
    const name = `runner-${runner}`;
    const sum = [...reported.values()].reduce(
      (total, counts) => total + (counts.get(name) ?? 0),
      0,
    );
    t.is(fromOthers.countAt(name), sum);
  }
});
