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
  const rank = {
    index: 0,
    iterationMilliseconds,
    growthMilliseconds,
    rankMilliseconds,
  };
  return { sequences, rank, distanceMilliseconds };
}

/** Groups chosen over many calls. */
function chooseRepeatedly(
  candidates: chooseGroup.GroupCandidate[],
): Set<unknown> {
  const random = new common.Random(1);
  const indexes = Array.from({ length: 100 }, () =>
    chooseGroup.chooseGroup({ candidates, iterations: 100, random }),
  );
  return new Set(indexes);
}

test("a long context joins the group that one slows already", (t) => {
  const fast = candidate(50, 8, 12);
  const slow = candidate(50, 12, 12);
  t.deepEqual(chooseRepeatedly([fast, slow]), new Set([1]));
});

// All entries see one group a little better than the others until its next
// report. Were all to choose it, it would be the worst by then.
test("groups about as good as the best share the requests", (t) => {
  const candidates = [8, 9, 10].map((step) => candidate(20, step, step - 1));
  t.is(chooseRepeatedly(candidates).size, 3);
});

test("a far group is not taken just to share, only when it is better", (t) => {
  const near = candidate(20, 8, 7);
  t.deepEqual(chooseRepeatedly([near, candidate(20, 8, 7, 30)]), new Set([0]));
  t.deepEqual(chooseRepeatedly([near, candidate(20, 5, 4, 30)]), new Set([1]));
});

test("without a group there is no choice", (t) => {
  t.deepEqual(chooseRepeatedly([]), new Set([undefined]));
});
