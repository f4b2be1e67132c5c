import * as ava from "ava";
import * as countPlan from "./count_plan.ts";

const test = ava.default;

/** Links of 5.6 and of 4.2 million bits a second. */
const LINK_BYTES_PER_SECOND = 700_000;
const SLOW_LINK_BYTES_PER_SECOND = 525_000;

function ranks(count: number): number[] {
  return Array.from({ length: count }, (_, rank) => rank);
}

test("all ranks of a small group tell ten times a second", (t) => {
  for (const [size, countsPerReading] of [
    [8, 384],
    [12, 288],
  ]) {
    const linkedRanks = ranks(size);
    const plan = countPlan.planCounts({
      linkedRanks,
      countsPerReading,
      linkBytesPerSecond: LINK_BYTES_PER_SECOND,
    });
    t.is(plan.reporters.size, size);
    t.is(plan.periodMilliseconds, 100);
  }
});

// Told by all, the counts of a group of 63 fill the leader's link: it hears no state
// in time, orders arrive late, and the map is never changed.
test("of a large group a few ranks tell, as often as the link carries", (t) => {
  for (const [size, countsPerReading, linkBytesPerSecond] of [
    [63, 2_016, LINK_BYTES_PER_SECOND],
    [96, 3_072, SLOW_LINK_BYTES_PER_SECOND],
  ]) {
    const linkedRanks = ranks(size);
    const plan = countPlan.planCounts({
      linkedRanks,
      countsPerReading,
      linkBytesPerSecond,
    });
    t.is(plan.reporters.size, 8);
    const readings = (plan.reporters.size * 1_000) / plan.periodMilliseconds;
    // A byte a number at least; three quarters of the link stay for the rest.
    t.true(readings * countsPerReading <= linkBytesPerSecond * 0.25);
    t.true(plan.periodMilliseconds <= 250);
  }
});

// Seen late, a shift leaves all streams paused for the slowest rank for as long. A
// faster link carries counts more often, up to those that show anything new.
test("a faster link carries counts more often", (t) => {
  const periods = [
    SLOW_LINK_BYTES_PER_SECOND,
    LINK_BYTES_PER_SECOND,
    4 * LINK_BYTES_PER_SECOND,
  ].map(
    (linkBytesPerSecond) =>
      countPlan.planCounts({
        linkedRanks: ranks(63),
        countsPerReading: 2_016,
        linkBytesPerSecond,
      }).periodMilliseconds,
  );
  t.true(periods[0] > periods[1]);
  t.is(periods[2], countPlan.COUNT_PERIOD_MILLISECONDS);
});

test("a rank that is not linked is not waited for", (t) => {
  const linkedRanks = ranks(63).filter((rank) => rank > 4);
  const plan = countPlan.planCounts({
    linkedRanks,
    countsPerReading: 2_016,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  t.true(plan.reporters.has(5));
  t.is(plan.reporters.size, 8);
});

// All streams stay late after all hosts lost power: the group is busy before anybody
// leads it, and sixty ranks that tell at once fill the new leader's link. It reads the
// engines' shape from the store over the same link, and never has it.
test("before the engines are known no rank tells what is chosen", (t) => {
  const plan = countPlan.planCounts({
    linkedRanks: ranks(63),
    countsPerReading: 0,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  t.is(plan.reporters.size, 0);
});
