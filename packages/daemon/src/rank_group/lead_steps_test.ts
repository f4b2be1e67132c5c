import * as ava from "ava";
import * as leadSteps from "./lead_steps.ts";

const test = ava.default;

const PASS_MILLISECONDS = 60;

/** Steps after some switches, each of which took a time to arm. */
function stepsAfter(armMilliseconds: number[]): number {
  const lead = new leadSteps.LeadSteps();
  lead.noteStep(10, 0);
  lead.noteStep(20, 10 * PASS_MILLISECONDS);
  for (const milliseconds of armMilliseconds) lead.noteArming(milliseconds);
  return lead.steps;
}

test("a switch is aimed two passes ahead while arming is quick", (t) => {
  t.is(stepsAfter([]), 2);
  t.is(stepsAfter([35, 50, 41]), 2);
});

// All streams pause for the slowest rank until the map is switched to: arming takes a
// little longer than a pass, and one pass more in reserve would be all of that pass late.
test("arming that takes little more than a pass is no reason to wait for a third", (t) => {
  t.is(stepsAfter([PASS_MILLISECONDS * 1.2]), 2);
  t.is(stepsAfter([PASS_MILLISECONDS * 1.5]), 3);
});

// Every stream of the group pauses while a pass is held. Engines leave orders without
// an answer, so that arming takes several passes: the next switches are aimed further
// ahead, and near again some switches after the trouble is over.
test("a switch is aimed further ahead after slow ones, and nearer by and by", (t) => {
  t.is(stepsAfter([40, 170]), 4);
  t.is(stepsAfter([40, 170, 40]), 4);
  t.is(stepsAfter([170, ...new Array<number>(8).fill(40)]), 2);
  t.is(stepsAfter([5_000]), 6);
});

test("an idle group makes no passes and gives no length of one", (t) => {
  const lead = new leadSteps.LeadSteps();
  lead.noteStep(10, 0);
  lead.noteStep(10, 9_000);
  lead.noteArming(90);
  t.is(lead.steps, 2);
});
