import * as ava from "ava";
import * as eventPace from "./event_pace.ts";

const test = ava.default;

const LONGEST_MILLISECONDS = 150;

function run(
  pace: eventPace.EventPace,
  pauseMilliseconds: number,
  intervals: number,
): number {
  for (let interval = 0; interval < intervals; interval++) {
    for (let event = 0; event < 20; event++)
      pace.note(pauseMilliseconds, LONGEST_MILLISECONDS);
    pace.adjust();
  }
  return pace.capacityFactor;
}

// A group of which a third may receive nothing does the same work on fewer
// ranks: its streams were all late by their pauses while slots were free.
test("capacity falls while pauses near the longest one, and comes back", (t) => {
  const pace = new eventPace.EventPace();
  t.is(run(pace, 60, 5), 1);
  t.true(run(pace, 140, 5) < 0.8);
  t.true(run(pace, 60, 20) > 0.95);
});

test("capacity keeps a least part, and streams without a bound change nothing", (t) => {
  const pace = new eventPace.EventPace();
  t.true(run(pace, 500, 100) >= 0.4);
  const other = new eventPace.EventPace();
  other.note(10_000, 0);
  other.adjust();
  t.is(other.capacityFactor, 1);
});

// A group that lost a rank stands still for a second or two. If its pauses
// counted, it would return to a fraction of its capacity.
test("a standstill changes nothing", (t) => {
  const pace = new eventPace.EventPace();
  run(pace, 60, 3);
  t.is(run(pace, 1_500, 5), 1);
});

// Without streams nothing says that the service is slow any more.
test("a service without streams does not lose more capacity", (t) => {
  const pace = new eventPace.EventPace();
  const reduced = run(pace, 140, 4);
  for (let interval = 0; interval < 10; interval++) pace.adjust();
  t.is(pace.capacityFactor, reduced);
});
