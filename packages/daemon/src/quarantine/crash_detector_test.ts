import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerCrash from "./runner_crash.ts";
import * as runnerCrashFixture from "./runner_crash_fixture.ts";
import * as crashDetector from "./crash_detector.ts";

const test = ava.default;

const INCARNATION = traffic.incarnationOf(runnerFixture.createRunner());

function runOf(request = "q"): runnerCrash.InterruptedRun {
  return runnerCrashFixture.interruptedRun({ request });
}

interface Fixture {
  detector: crashDetector.CrashDetector;
  crashes: runnerCrash.RunnerCrash[];
  probes: number;
}

function createFixture(presence: common.Presence, inUse = true): Fixture {
  const crashes: runnerCrash.RunnerCrash[] = [];
  const crashTimes = new Map<string, number>();
  const fixture: Fixture = {
    crashes,
    probes: 0,
    detector: new crashDetector.CrashDetector({
      presenceOf: async () => {
        fixture.probes++;
        return presence;
      },
      inUse: () => inUse,
      crashTimeOf: (incarnation) => crashTimes.get(incarnation),
      onCrash: (crash) => {
        crashes.push(crash);
        crashTimes.set(crash.life, crash.endedAt);
      },
    }),
  };
  return fixture;
}

test("a runner whose address refuses connections has crashed", async (t) => {
  const fixture = createFixture(common.Presence.Refused);
  const runs = [runOf("q"), runOf("r")];
  await Promise.all(
    runs.map((run) =>
      fixture.detector.investigate(runnerFixture.createRunner(), run),
    ),
  );
  t.is(fixture.probes, 1);
  t.is(fixture.crashes.length, 1);
  t.deepEqual(
    fixture.crashes[0].runs.map(({ request }) => request),
    ["q", "r"],
  );
  t.is(fixture.crashes[0].evidence, runnerCrash.CrashEvidence.Refused);
});

test("a run that is abandoned after its runner's crash counts as interrupted by this crash", async (t) => {
  const fixture = createFixture(common.Presence.Refused);
  await fixture.detector.investigate(runnerFixture.createRunner(), runOf("q"));
  await fixture.detector.investigate(
    runnerFixture.createRunner(),
    runOf("late"),
  );
  t.is(fixture.probes, 1);
  t.is(fixture.crashes.length, 2);
  t.is(fixture.crashes[1].runs[0].request, "late");
  t.is(fixture.crashes[1].endedAt, fixture.crashes[0].endedAt);
  t.is(fixture.crashes[1].evidence, runnerCrash.CrashEvidence.Known);
});

// An answer that a healthy runner broke off must not count as a crash.
test("a runner that accepts connections has not crashed", async (t) => {
  const fixture = createFixture(common.Presence.Listening);
  await fixture.detector.investigate(runnerFixture.createRunner(), runOf());
  const runners = [
    runnerFixture.createRunner({ identifier: "i-2", bornAt: 9 }),
  ];
  fixture.detector.applyList({ version: 2, runners });
  t.deepEqual(fixture.crashes, []);
});

// Over a broken link, from a frozen host and from a host without power no
// answer to a probe arrives. Only in the last case is a new incarnation of the
// runner listed afterwards.
test("an unreachable runner has crashed once another incarnation is listed at its address", async (t) => {
  const fixture = createFixture(common.Presence.Silent);
  await fixture.detector.investigate(runnerFixture.createRunner(), runOf());
  fixture.detector.applyList({ version: 2, runners: [] });
  fixture.detector.applyList({
    version: 3,
    runners: [runnerFixture.createRunner()],
  });
  t.deepEqual(fixture.crashes, []);
  fixture.detector.applyList({
    version: 4,
    runners: [runnerFixture.createRunner({ bornAt: 2 })],
  });
  t.is(fixture.crashes.length, 1);
  t.is(fixture.crashes[0].evidence, runnerCrash.CrashEvidence.Replaced);
});

// A run is investigated while its runner is silent, and then gets on. A crash of
// this runner half a minute later must not count against the answered request.
test("a run that got on does not count for a later crash", async (t) => {
  const fixture = createFixture(common.Presence.Silent);
  const runner = runnerFixture.createRunner();
  for (const run of [runOf("q"), runOf("r")])
    await fixture.detector.investigate(runner, run);
  fixture.detector.withdraw(runner, "q");
  fixture.detector.withdraw(runner, "unknown");
  fixture.detector.applyReportedCrash(INCARNATION, common.now());
  t.deepEqual(
    fixture.crashes[0].runs.map(({ request }) => request),
    ["r"],
  );
  await fixture.detector.investigate(runner, runOf("s"));
  t.is(fixture.crashes.length, 2);
});

// Runners that leave as planned may break off their remaining runs.
test("the stop of a runner that is leaving does not count as a crash", async (t) => {
  const fixture = createFixture(common.Presence.Refused, false);
  await fixture.detector.investigate(runnerFixture.createRunner(), runOf());
  t.is(fixture.probes, 0);
  t.deepEqual(fixture.crashes, []);
});

test("a crash that another entry reports counts for the runs that were interrupted here", async (t) => {
  const fixture = createFixture(common.Presence.Silent);
  const run = runOf();
  await fixture.detector.investigate(runnerFixture.createRunner(), run);
  const endedAt = common.now() - 5;
  fixture.detector.applyReportedCrash(INCARNATION, endedAt);
  fixture.detector.applyReportedCrash(INCARNATION, endedAt);
  t.is(fixture.crashes.length, 1);
  t.is(fixture.crashes[0].endedAt, endedAt);
  t.is(fixture.crashes[0].evidence, runnerCrash.CrashEvidence.Known);
});
