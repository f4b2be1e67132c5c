import * as ava from "ava";
import * as standing from "./standing.ts";
import type * as suspectLedger from "./suspect_ledger.ts";

const test = ava.default;

const HOUR = 3_600_000;

function ends(times: number[], version = "1"): suspectLedger.EndOfRequest[] {
  return times.map((endedAt) => ({
    runner: `i-${endedAt}`,
    version,
    startedAt: endedAt,
    endedAt,
    seenBy: ["entry-1"],
  }));
}

function standingAt(
  now: number,
  times: number[],
  versions: string[] = ["1"],
  version = "1",
): standing.HeldStanding["kind"] {
  const versionsInUse = new Set(versions);
  return standing.standingOf({ ends: ends(times, version), versionsInUse, now })
    .kind;
}

test("a request is held for two hours after its last end", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(standingAt(2_000, times), "held");
  t.is(standingAt(2 * HOUR, times), "held");
  t.is(standingAt(2 * HOUR + 2_001, times), "on-trial");
});

// Without it a request that is not mended would cost a runner each two hours.
test("each trial that fails makes the next one later", (t) => {
  const failed = [0, 1_000, 2_000, 2 * HOUR];
  t.is(standingAt(4 * HOUR, failed), "held");
  t.is(standingAt(8 * HOUR + 1, failed), "on-trial");
  const again = [...failed, 8 * HOUR];
  t.is(standingAt(24 * HOUR, again), "held");
});

test("it is tried once no runner has the version under which runners ended", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(standingAt(5_000, times, ["1", "2"]), "held");
  t.is(standingAt(5_000, times, ["2"]), "on-trial");
});

// While all runners are away nothing says that the version was replaced.
test("a service without runners or versions has nothing new to try", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(standingAt(5_000, times, []), "held");
  t.is(standingAt(5_000, times, [""], ""), "held");
});
