import * as ava from "ava";
import * as countPlan from "./count_plan.ts";

const test = ava.default;

/** Network links of 5.6 and of 4.2 million bits per second. */
const LINK_BYTES_PER_SECOND = 700_000;
const SLOW_LINK_BYTES_PER_SECOND = 525_000;

function ranks(count: number): number[] {
  return Array.from({ length: count }, (_, rank) => rank);
}

test("all ranks of a small group report ten times a second", (t) => {
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

// If all 63 ranks of a group reported, the counts would fill the leader's link.
// The leader would receive states too late, orders would arrive late, and the
// map would never change.
test("a few ranks of a large group report, as often as the link allows", (t) => {
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
    // At one byte or more for each count, three quarters of the link remain for
    // other messages.
    t.true(readings * countsPerReading <= linkBytesPerSecond * 0.25);
    t.true(plan.periodMilliseconds <= 250);
  }
});

// Until a shift is detected, all streams wait for the slowest rank. A faster
// link carries counts more often, up to the period below which they show
// nothing new.
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

test("linked ranks report in place of those that are not linked", (t) => {
  const linkedRanks = ranks(63).filter((rank) => rank > 4);
  const plan = countPlan.planCounts({
    linkedRanks,
    countsPerReading: 2_016,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  t.true(plan.reporters.has(5));
  t.is(plan.reporters.size, 8);
});

// After all hosts lost power, the group is busy before it has a leader. If
// sixty ranks reported at once, they would fill the new leader's link. The
// leader reads the model from the store over the same link and would never
// receive it, so all streams would stay late.
test("no rank reports activations while the model is unknown", (t) => {
  const plan = countPlan.planCounts({
    linkedRanks: ranks(63),
    countsPerReading: 0,
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
  t.is(plan.reporters.size, 0);
});
