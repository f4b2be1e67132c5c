import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as demandModule from "./demand.ts";

const test = ava.default;

const EXPERTS = 16;
const PERIOD_MILLISECONDS = 150;

/**
 * What one rank counts in a period, with random variation, when one group of
 * four experts is popular.
 */
function skewedCounts(random: common.Random, popular: number): number[] {
  return Array.from({ length: EXPERTS }, (_, expert) => {
    const mean = Math.floor(expert / 4) === popular ? 300 : 40;
    return Math.round(mean * random.between(0.85, 1.15));
  });
}

function addCounts(
  demand: demandModule.Demand,
  random: common.Random,
  span: { from: number; periods: number; popular: number },
): number {
  let now = span.from;
  for (let period = 0; period < span.periods; period++) {
    now += PERIOD_MILLISECONDS;
    for (let rank = 0; rank < 4; rank++) {
      demand.add(rank, skewedCounts(random, span.popular), now);
    }
    demand.detectShift(now);
  }
  return now;
}

test("random differences between readings are no shift", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  addCounts(demand, new common.Random(1), { from: 0, periods: 40, popular: 1 });
  t.is(demand.shifts, 0);
});

// Maps planned for earlier demand are of no use. Demand that changes every few
// seconds must be detected within half a second, and the demand before must no
// longer have an effect.
test("a shift is detected within three readings and earlier demand is dropped", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(2);
  const now = addCounts(demand, random, { from: 0, periods: 30, popular: 1 });
  addCounts(demand, random, { from: now, periods: 3, popular: 3 });
  t.true(demand.shifts >= 1);
  const [layer] = demand.load;
  t.true(layer[12] > layer[4] * 1.5);
});

// Each rank is read at its own time. The reading in progress when demand shifts
// covers both the old and the new demand; the next one covers the new demand
// alone. If the first one stayed in the view, the next map would half follow
// the old demand and have to be changed again once it is in force.
test("readings that began before a shift do not stay in the long view", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(3);
  const now = addCounts(demand, random, { from: 0, periods: 30, popular: 1 });
  const halfShifted = (rank: number) =>
    skewedCounts(random, 1).map(
      (count, expert) =>
        (count + skewedCounts(random, 3)[expert] * (rank % 2)) / 2,
    );
  for (let rank = 0; rank < 4; rank++)
    demand.add(rank, halfShifted(rank), now + 100);
  demand.detectShift(now + 100);
  for (let rank = 0; rank < 4; rank++) {
    demand.add(rank, skewedCounts(random, 3), now + 200);
  }
  demand.detectShift(now + 200);
  const [layer] = demand.load;
  t.true(layer[12] > layer[4] * 4);
});
