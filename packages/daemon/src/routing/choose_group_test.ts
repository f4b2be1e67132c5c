import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as chooseGroup from "./choose_group.ts";

const test = ava.default;

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

/** Set of the indexes that 100 calls return. */
function chooseRepeatedly(
  candidates: chooseGroup.GroupCandidate[],
): Set<unknown> {
  const random = new common.Random(1);
  const indexes = Array.from({ length: 100 }, () =>
    chooseGroup.chooseGroup({ candidates, iterations: 100, random }),
  );
  return new Set(indexes);
}

test("a long context joins the group that another one already slows", (t) => {
  const fast = candidate(50, 8, 12);
  const slow = candidate(50, 12, 12);
  t.deepEqual(chooseRepeatedly([fast, slow]), new Set([1]));
});

// Until the next load report all entries see the same group as slightly better
// than the others. If all of them chose it, it would become the worst one.
test("groups whose cost is near the lowest share the requests", (t) => {
  const candidates = [8, 9, 10].map((milliseconds) =>
    candidate(20, milliseconds, milliseconds - 1),
  );
  t.is(chooseRepeatedly(candidates).size, 3);
});

test("a farther group is chosen for its lower cost, not to share load", (t) => {
  const near = candidate(20, 8, 7);
  t.deepEqual(chooseRepeatedly([near, candidate(20, 8, 7, 30)]), new Set([0]));
  t.deepEqual(chooseRepeatedly([near, candidate(20, 5, 4, 30)]), new Set([1]));
});

test("without candidates the choice is undefined", (t) => {
  t.deepEqual(chooseRepeatedly([]), new Set([undefined]));
});
