import * as ava from "ava";
import * as iterationsAhead from "./iterations_ahead.ts";

const test = ava.default;

const ITERATION_MILLISECONDS = 60;

/** Steps after some switches, each of which took a time to arm. */
function iterationsAfter(armMilliseconds: number[]): number {
  const ahead = new iterationsAhead.IterationsAhead();
  ahead.noteIteration(10, 0);
  ahead.noteIteration(20, 10 * ITERATION_MILLISECONDS);
  for (const milliseconds of armMilliseconds) ahead.noteArming(milliseconds);
  return ahead.count;
}

test("a switch is aimed two passes ahead while arming is quick", (t) => {
  t.is(iterationsAfter([]), 2);
  t.is(iterationsAfter([35, 50, 41]), 2);
});

// All streams pause for the slowest rank until the map is switched to: arming takes a
// little longer than a pass, and one pass more in reserve would be all of that pass late.
test("arming that takes little more than a pass is no reason to wait for a third", (t) => {
  t.is(iterationsAfter([ITERATION_MILLISECONDS * 1.2]), 2);
  t.is(iterationsAfter([ITERATION_MILLISECONDS * 1.5]), 3);
});

// Every stream of the group pauses while a pass is held. Engines leave orders without
// an answer, so that arming takes several passes: the next switches are aimed further
// ahead, and near again some switches after the trouble is over.
test("a switch is aimed further ahead after slow ones, and nearer by and by", (t) => {
  t.is(iterationsAfter([40, 170]), 4);
  t.is(iterationsAfter([40, 170, 40]), 4);
  t.is(iterationsAfter([170, ...new Array<number>(8).fill(40)]), 2);
  t.is(iterationsAfter([5_000]), 6);
});

test("an idle group makes no passes and gives no length of one", (t) => {
  const ahead = new iterationsAhead.IterationsAhead();
  ahead.noteIteration(10, 0);
  ahead.noteIteration(10, 9_000);
  ahead.noteArming(90);
  t.is(ahead.count, 2);
});
