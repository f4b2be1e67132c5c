import * as ava from "ava";
import * as instantModule from "./instant.ts";

const test = ava.default;

/** A machine whose clocks a test moves. */
class Machine {
  monotonic = 5_000;
  timeOfDay = 1_700_000_000_000;
  uptime = 90_000;
  /** Pauses of the process before the next reads of the time of day. */
  pauses: number[] = [];
  readonly source = new instantModule.InstantSource({
    monotonic: () => this.monotonic,
    timeOfDay: () => {
      this.run(this.pauses.shift() ?? 0);
      return this.timeOfDay;
    },
    // The system gives it in hundredths of a second.
    uptime: () => Math.floor(this.uptime / 10) * 10,
  });

  run(milliseconds: number): void {
    this.monotonic += milliseconds;
    this.suspend(milliseconds);
  }

  suspend(milliseconds: number): void {
    this.timeOfDay += milliseconds;
    this.uptime += milliseconds;
  }

  /** Age of a moment now. */
  ageOf(since: instantModule.Instant): number {
    return instantModule.ageOf(since, this.source.now());
  }
}

// Guards against leases that end, and proofs that are too old, as an operator or a
// time service sets the clock.
test("setting the time of day forward and back changes no age", (t) => {
  const machine = new Machine();
  const since = machine.source.now();
  for (const change of [7_000, -20_000, 400, -60, 3_600_000]) {
    machine.timeOfDay += change;
    machine.run(100);
    machine.source.now();
  }
  t.is(machine.ageOf(since), 500);
});

// Guards against what was proved before a suspension and seems fresh after it.
test("a suspension ages what was known, also with a clock that is set", (t) => {
  for (const change of [0, 7_000, -2_000]) {
    const machine = new Machine();
    const since = machine.source.now();
    machine.run(100);
    machine.suspend(4_000);
    machine.timeOfDay += change;
    t.true(Math.abs(machine.ageOf(since) - 4_100) <= 20);
    machine.run(100);
    machine.suspend(1_000);
    t.true(Math.abs(machine.ageOf(since) - 5_200) <= 20);
  }
});

// Guards against an age that grows as a time service slews the time of day.
test("a time of day that runs fast changes no age", (t) => {
  const machine = new Machine();
  const since = machine.source.now();
  for (let second = 0; second < 600; second++) {
    machine.run(1_000);
    machine.timeOfDay += 0.5;
    machine.source.now();
  }
  t.is(machine.ageOf(since), 600_000);
});

// Guards against ages that are too high for good: the process is paused between the
// reads of two clocks, which then differ as after a suspension.
test("a pause of the process between two reads is no suspension", (t) => {
  for (const pauses of [[200], [200, 200], [200, 200, 200, 200, 200]]) {
    const machine = new Machine();
    const since = machine.source.now();
    machine.pauses = pauses;
    const before = machine.monotonic;
    while (machine.pauses.length > 0) machine.source.now();
    machine.run(100);
    t.is(machine.ageOf(since), machine.monotonic - before);
  }
});

test("a suspension is seen although the process is paused after it", (t) => {
  const machine = new Machine();
  const since = machine.source.now();
  machine.suspend(4_000);
  machine.pauses = [0, 200, 200, 200];
  machine.source.now();
  t.true(Math.abs(machine.ageOf(since) - 4_600) <= 20);
});
