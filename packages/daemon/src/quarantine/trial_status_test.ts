import * as ava from "ava";
import * as trialStatus from "./trial_status.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

const test = ava.default;

const HOUR = 3_600_000;

function crashesAt(
  times: number[],
  version = "1",
): suspectLedger.CrashUnderRequest[] {
  return times.map((endedAt) => ({
    runner: `i-${endedAt}`,
    version,
    startedAt: endedAt,
    endedAt,
    seenBy: ["entry-1"],
  }));
}

function statusAt(
  now: number,
  times: number[],
  versions: string[] = ["1"],
  version = "1",
): trialStatus.TrialStatus["kind"] {
  const versionsInUse = new Set(versions);
  return trialStatus.trialStatusOf({
    crashes: crashesAt(times, version),
    versionsInUse,
    now,
  }).kind;
}

// One that was at three ends by chance must not be refused for long.
test("a request is tried again half a minute after its last end", (t) => {
  const times = [0, 1_000, 2_000, 2_020];
  t.is(statusAt(2_020, times), "held");
  t.is(statusAt(32_000, times), "held");
  t.is(statusAt(32_021, times), "on-trial");
});

// One that is not mended would cost a runner each half minute.
test("each trial that fails makes the next one later, three in a day at most", (t) => {
  const first = [0, 1_000, 2_000, 40_000];
  t.is(statusAt(2 * HOUR, first), "held");
  t.is(statusAt(2 * HOUR + 40_001, first), "on-trial");
  const second = [...first, 2 * HOUR + 50_000];
  t.is(statusAt(8 * HOUR, second), "held");
  t.is(statusAt(9 * HOUR, second), "on-trial");
  const third = [...second, 9 * HOUR];
  t.is(statusAt(24 * HOUR, third), "held");
});

test("it is tried once no runner has the version under which runners ended", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(statusAt(5_000, times, ["1", "2"]), "held");
  t.is(statusAt(5_000, times, ["2"]), "on-trial");
});

// While all runners are away nothing says that the version was replaced.
test("a service without runners or versions has nothing new to try", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(statusAt(5_000, times, []), "held");
  t.is(statusAt(5_000, times, [""], ""), "held");
});
