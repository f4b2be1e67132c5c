import * as ava from "ava";
import * as iterationsAhead from "./iterations_ahead.ts";

const test = ava.default;

const ITERATION_MILLISECONDS = 60;

/**
 * How many iterations ahead the next switch is after the given arming times.
 */
function iterationsAfter(armMilliseconds: number[]): number {
  const ahead = new iterationsAhead.IterationsAhead();
  ahead.noteIteration(10, 0);
  ahead.noteIteration(20, 10 * ITERATION_MILLISECONDS);
  for (const milliseconds of armMilliseconds) ahead.noteArming(milliseconds);
  return ahead.count;
}

test("a switch is two iterations ahead while arming is quick", (t) => {
  t.is(iterationsAfter([]), 2);
  t.is(iterationsAfter([35, 50, 41]), 2);
});

// Until the switch, all streams wait for the slowest rank in each iteration. If
// arming takes slightly longer than an iteration, one more iteration in reserve
// would delay the switch by almost all of it.
test("arming that takes slightly longer than an iteration needs no third iteration", (t) => {
  t.is(iterationsAfter([ITERATION_MILLISECONDS * 1.2]), 2);
  t.is(iterationsAfter([ITERATION_MILLISECONDS * 1.5]), 3);
});

// Engines leave orders unanswered, so that arming takes several iterations and
// an iteration that is due is held for all streams. The next switches must be
// further ahead, and nearer again a few switches after arming is quick again.
test("a switch is further ahead after slow arming, and nearer again after quick arming", (t) => {
  t.is(iterationsAfter([40, 170]), 4);
  t.is(iterationsAfter([40, 170, 40]), 4);
  t.is(iterationsAfter([170, ...new Array<number>(8).fill(40)]), 2);
  t.is(iterationsAfter([5_000]), 6);
});

test("an idle group begins no iterations, so their length stays unknown", (t) => {
  const ahead = new iterationsAhead.IterationsAhead();
  ahead.noteIteration(10, 0);
  ahead.noteIteration(10, 9_000);
  ahead.noteArming(90);
  t.is(ahead.count, 2);
});
