import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as demandModule from "./demand.ts";

const test = ava.default;

const EXPERTS = 16;
/** Time between two readings of a rank in these tests. */
const PERIOD_MILLISECONDS = 150;

/**
 * Activations that one rank counts in a period, with random variation. The
 * sixteen experts form four quarters; the experts of the popular quarter are
 * activated 300 times on average, the others 40 times.
 */
function skewedCounts(random: common.Random, popularQuarter: number): number[] {
  return Array.from({ length: EXPERTS }, (_, expert) => {
    const mean = Math.floor(expert / 4) === popularQuarter ? 300 : 40;
    return Math.round(mean * random.between(0.85, 1.15));
  });
}

/**
 * Adds a reading of each of four ranks for every period, and checks for a shift
 * after each. Returns the end of the last period.
 */
function addPeriods(
  demand: demandModule.Demand,
  random: common.Random,
  span: { from: number; periods: number; popularQuarter: number },
): number {
  let now = span.from;
  for (let period = 0; period < span.periods; period++) {
    now += PERIOD_MILLISECONDS;
    for (let rank = 0; rank < 4; rank++) {
      demand.add(rank, skewedCounts(random, span.popularQuarter), now);
    }
    demand.detectShift(now);
  }
  return now;
}

test("random differences between readings are no shift", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  addPeriods(demand, new common.Random(1), {
    from: 0,
    periods: 40,
    popularQuarter: 1,
  });
  t.is(demand.shifts, 0);
});

// Maps planned for earlier demand are of no use. Demand changes every few
// seconds, so a shift must be detected within half a second, and the demand
// before it must no longer determine the map.
test("a shift is detected within three readings of each rank and earlier demand is dropped", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(2);
  const now = addPeriods(demand, random, {
    from: 0,
    periods: 30,
    popularQuarter: 1,
  });
  addPeriods(demand, random, { from: now, periods: 3, popularQuarter: 3 });
  t.true(demand.shifts >= 1);
  const [layer] = demand.load;
  // Expert 12 is in the new popular quarter, expert 4 in the earlier one. From
  // the new demand alone, the ratio would be about 300 to 40.
  t.true(layer[12] > layer[4] * 1.5);
});

// The process beside a rank reads the counts at its own times. The reading in
// progress when demand shifts covers both the old and the new demand; the next
// one covers the new demand alone. If the first one stayed in the long view,
// the next map would half follow the old demand and have to be changed again
// once it is in force.
test("readings that began before a shift do not stay in the long view", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(3);
  const now = addPeriods(demand, random, {
    from: 0,
    periods: 30,
    popularQuarter: 1,
  });
  // Half of the old demand for each rank, and half of the new demand for odd
  // ranks only: the shift does not show equally in the readings of all ranks.
  const countsAcrossShift = (rank: number) =>
    skewedCounts(random, 1).map(
      (count, expert) =>
        (count + skewedCounts(random, 3)[expert] * (rank % 2)) / 2,
    );
  for (let rank = 0; rank < 4; rank++)
    demand.add(rank, countsAcrossShift(rank), now + 100);
  demand.detectShift(now + 100);
  for (let rank = 0; rank < 4; rank++) {
    demand.add(rank, skewedCounts(random, 3), now + 200);
  }
  demand.detectShift(now + 200);
  const [layer] = demand.load;
  // As above: about 300 to 40, or 7.5, from the new demand alone.
  t.true(layer[12] > layer[4] * 4);
});
