import * as ava from "ava";
import * as surgeClock from "./surge_clock.ts";

const test = ava.default;

const MINUTE = 60_000;
const HOUR = 60 * MINUTE;
const PART = 30_000;

/** A clock that has seen an hour with a surge in its first two minutes. */
function afterOneHour(): surgeClock.SurgeClock {
  const clock = new surgeClock.SurgeClock();
  for (let at = 0; at < HOUR; at += PART) {
    clock.observe(at < 2 * MINUTE ? 4_000 : 1_000, at);
  }
  return clock;
}

test("a surge that came at the hour is expected at the next", (t) => {
  const clock = afterOneHour();
  t.true(clock.expectsSurge(2 * HOUR - MINUTE, 2 * MINUTE));
  t.true(clock.expectsSurge(2 * HOUR + MINUTE, 0));
  t.false(clock.expectsSurge(2 * HOUR + 10 * MINUTE, 2 * MINUTE));
});

test("nothing is expected before half an hour was seen", (t) => {
  const clock = new surgeClock.SurgeClock();
  clock.observe(4_000, 0);
  clock.observe(1_000, PART);
  t.false(clock.expectsSurge(HOUR, PART));
});
