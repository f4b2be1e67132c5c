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
  runnerVersions: string[] = ["1"],
  version = "1",
): trialStatus.TrialStatus["kind"] {
  const versionsInUse = new Set(runnerVersions);
  return trialStatus.trialStatusOf({
    crashes: crashesAt(times, version),
    provedAt: times[2],
    isCommon: false,
    versionsInUse,
    now,
  }).kind;
}

// A request that was under way at crashes by chance must not be refused for
// long. The fourth crash, 20 ms after the third, comes too early to count as a
// failed trial, so the half minute begins at this crash.
test("a request may be tried again half a minute after its last crash", (t) => {
  const times = [0, 1_000, 2_000, 2_020];
  t.is(statusAt(2_020, times), "held");
  t.is(statusAt(32_000, times), "held");
  t.is(statusAt(32_021, times), "on-trial");
});

// If failed trials did not delay the next one, a request that still crashes
// runners would crash one each half minute.
test("each failed trial delays the next one, with three failed trials in a day at most", (t) => {
  const oneFailedTrial = [0, 1_000, 2_000, 40_000];
  t.is(statusAt(2 * HOUR, oneFailedTrial), "held");
  t.is(statusAt(2 * HOUR + 40_001, oneFailedTrial), "on-trial");
  const twoFailedTrials = [...oneFailedTrial, 2 * HOUR + 50_000];
  t.is(statusAt(8 * HOUR, twoFailedTrials), "held");
  t.is(statusAt(9 * HOUR, twoFailedTrials), "on-trial");
  const threeFailedTrials = [...twoFailedTrials, 9 * HOUR];
  t.is(statusAt(24 * HOUR, threeFailedTrials), "held");
});

test("a request may be tried again once no runner has a version that crashed", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(statusAt(5_000, times, ["1", "2"]), "held");
  t.is(statusAt(5_000, times, ["2"]), "on-trial");
});

// While no runner is listed, nothing shows that the version was replaced. An
// empty string stands for the version of a runner that does not report one.
test("a request in quarantine may not be tried yet if its service has no runners or no known versions", (t) => {
  const times = [0, 1_000, 2_000];
  t.is(statusAt(5_000, times, []), "held");
  t.is(statusAt(5_000, times, [""], ""), "held");
});

// Guards against most requests being refused for long for a sound part: it may have
// been at crashes in turn while hardly any request was answered.
test("a common part is tried soon, and once", (t) => {
  const statusOf = (now: number, times: number[]) =>
    trialStatus.trialStatusOf({
      crashes: crashesAt(times),
      provedAt: 4_000,
      isCommon: true,
      versionsInUse: new Set(["1"]),
      now,
    }).kind;
  const times = [0, 1_000, 2_000, 3_000, 4_000];
  t.is(statusOf(8_999, times), "held");
  t.is(statusOf(9_000, times), "on-trial");
  t.is(statusOf(HOUR, [...times, 9_100]), "held");
});

// A part may be in quarantine after two crashes. The third is that of its trial.
test("a trial that failed after two crashes delays the next one", (t) => {
  const status = trialStatus.trialStatusOf({
    crashes: crashesAt([0, 1_000, 31_100]),
    provedAt: 1_000,
    isCommon: false,
    versionsInUse: new Set(["1"]),
    now: HOUR,
  });
  t.is(status.kind, "held");
});
