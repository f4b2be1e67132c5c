import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as chooseGroup from "./choose_group.ts";

const test = ava.default;

/**
 * Returns a group with this many sequences. Its iteration takes
 * `iterationMilliseconds` without the request. The rank that the request would
 * use takes `rankMilliseconds` with the request; if that is longer, the group's
 * iteration grows by the difference.
 */
function candidate(
  sequences: number,
  iterationMilliseconds: number,
  rankMilliseconds: number,
  distanceMilliseconds = 0,
): chooseGroup.GroupCandidate {
  const growthMilliseconds = Math.max(
    0,
    rankMilliseconds - iterationMilliseconds,
  );
  const choice = {
    index: 0,
    iterationMilliseconds,
    growthMilliseconds,
    rankMilliseconds,
  };
  return { sequences, choice, distanceMilliseconds };
}

/**
 * Set of the indexes that 100 calls return, for a request of 100 iterations.
 */
function chooseRepeatedly(
  candidates: chooseGroup.GroupCandidate[],
): Set<unknown> {
  const random = new common.Random(1);
  const indexes = Array.from({ length: 100 }, () =>
    chooseGroup.chooseGroup({ candidates, iterations: 100, random }),
  );
  return new Set(indexes);
}

// A request with a long context lengthens its rank's iteration to 12 ms. In the
// first group, that delays all 50 sequences by 4 ms per iteration. In the other
// one, an iteration already takes 12 ms.
test("a request that would slow a fast group joins a slow one", (t) => {
  const fast = candidate(50, 8, 12);
  const slow = candidate(50, 12, 12);
  t.deepEqual(chooseRepeatedly([fast, slow]), new Set([1]));
});

// Until the next load report all entries see the same group as slightly better
// than the others. If all of them chose it, it would become the worst one. The
// request lengthens no group's iteration, so the costs are 8, 9 and 10 ms per
// iteration, all within 40 % of the lowest.
test("groups whose cost is near the lowest share the requests", (t) => {
  const candidates = [8, 9, 10].map((milliseconds) =>
    candidate(20, milliseconds, milliseconds - 1),
  );
  t.is(chooseRepeatedly(candidates).size, 3);
});

// The cost includes the round trip of 60 ms, which adds 0.6 ms per iteration.
// The first far group costs 8.6 ms, the near one 8 ms: although the costs are
// close, the far group gets no share. The second far group costs 5.6 ms, and
// the cost of the near one is not within 40 % of that.
test("a farther group is chosen only if its cost is lower", (t) => {
  const near = candidate(20, 8, 7);
  t.deepEqual(chooseRepeatedly([near, candidate(20, 8, 7, 30)]), new Set([0]));
  t.deepEqual(chooseRepeatedly([near, candidate(20, 5, 4, 30)]), new Set([1]));
});

test("without candidates no group is chosen", (t) => {
  t.deepEqual(chooseRepeatedly([]), new Set([undefined]));
});
