import * as ava from "ava";
import * as countPlan from "./count_plan.ts";

const test = ava.default;

function ranks(count: number): number[] {
  return Array.from({ length: count }, (_, rank) => rank);
}

test("all ranks of a small group tell ten times a second", (t) => {
  for (const [size, numbersPerReading] of [
    [8, 384],
    [12, 288],
  ]) {
    const linked = ranks(size);
    const plan = countPlan.planCounts({ linked, numbersPerReading });
    t.is(plan.tellers.size, size);
    t.is(plan.periodMilliseconds, 100);
  }
});

// Told by all, the counts of a group of 63 fill the leader's link: it hears no state
// in time, orders arrive late, and the map is never changed.
test("of a large group a few ranks tell, as often as the link carries", (t) => {
  const linked = ranks(63);
  const plan = countPlan.planCounts({ linked, numbersPerReading: 2_016 });
  t.is(plan.tellers.size, 8);
  const readings = (plan.tellers.size * 1_000) / plan.periodMilliseconds;
  t.true(readings * 2_016 <= 81_000);
  t.true(plan.periodMilliseconds <= 250);
});

test("a rank that is not linked is not waited for", (t) => {
  const linked = ranks(63).filter((rank) => rank > 4);
  const plan = countPlan.planCounts({ linked, numbersPerReading: 2_016 });
  t.true(plan.tellers.has(5));
  t.is(plan.tellers.size, 8);
});

test("before the engines are known all are asked", (t) => {
  const plan = countPlan.planCounts({
    linked: ranks(63),
    numbersPerReading: 0,
  });
  t.is(plan.tellers.size, 63);
});
