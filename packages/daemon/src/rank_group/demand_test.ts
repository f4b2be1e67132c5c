import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as demandModule from "./demand.ts";

const test = ava.default;

const EXPERTS = 16;
const PERIOD_MILLISECONDS = 150;

/** What one rank counts in a period, with chance, when some experts are liked. */
function counted(random: common.Random, popular: number): number[] {
  return Array.from({ length: EXPERTS }, (_, expert) => {
    const mean = Math.floor(expert / 4) === popular ? 300 : 40;
    return Math.round(mean * random.between(0.85, 1.15));
  });
}

function feed(
  demand: demandModule.Demand,
  random: common.Random,
  span: { from: number; periods: number; popular: number },
): number {
  let now = span.from;
  for (let period = 0; period < span.periods; period++) {
    now += PERIOD_MILLISECONDS;
    for (let rank = 0; rank < 4; rank++) {
      demand.add(rank, counted(random, span.popular), now);
    }
    demand.detectShift(now);
  }
  return now;
}

test("chance between two readings is no shift", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  feed(demand, new common.Random(1), { from: 0, periods: 40, popular: 1 });
  t.is(demand.shifts, 0);
});

// Maps made for what is past are late. Demand that changes every few seconds must
// be seen within half a second, and what it was before must not weigh on.
test("a shift is seen within three readings and the past is dropped", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(2);
  const now = feed(demand, random, { from: 0, periods: 30, popular: 1 });
  feed(demand, random, { from: now, periods: 3, popular: 3 });
  t.true(demand.shifts >= 1);
  const [layer] = demand.load;
  t.true(layer[12] > layer[4] * 1.5);
});

// The next map would be made for half of the past, and made again when it is in
// force. Each rank is read at its own time: the reading under way when demand shifts
// tells of both, the one after it of the new alone.
test("readings that straddle a shift do not stay in the view", (t) => {
  const demand = new demandModule.Demand(EXPERTS);
  const random = new common.Random(3);
  const now = feed(demand, random, { from: 0, periods: 30, popular: 1 });
  const half = (rank: number) =>
    counted(random, 1).map(
      (count, expert) => (count + counted(random, 3)[expert] * (rank % 2)) / 2,
    );
  for (let rank = 0; rank < 4; rank++) demand.add(rank, half(rank), now + 100);
  demand.detectShift(now + 100);
  for (let rank = 0; rank < 4; rank++) {
    demand.add(rank, counted(random, 3), now + 200);
  }
  demand.detectShift(now + 200);
  const [layer] = demand.load;
  t.true(layer[12] > layer[4] * 4);
});
