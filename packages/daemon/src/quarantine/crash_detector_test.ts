import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerCrash from "./runner_crash.ts";
import * as crashDetector from "./crash_detector.ts";

const test = ava.default;

const INCARNATION = traffic.incarnationOf(runnerFixture.createRunner());

function runOf(request = "q"): runnerCrash.InterruptedRun {
  return { request, fingerprint: "f", startedAt: common.now() };
}

interface Scene {
  detector: crashDetector.CrashDetector;
  crashes: runnerCrash.RunnerCrash[];
  probes: number;
}

function sceneOf(presence: common.Presence, inUse = true): Scene {
  const crashes: runnerCrash.RunnerCrash[] = [];
  const crashTimes = new Map<string, number>();
  const scene: Scene = {
    crashes,
    probes: 0,
    detector: new crashDetector.CrashDetector({
      presenceOf: async () => {
        scene.probes++;
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
  return scene;
}

test("a runner whose address refuses connections has ended", async (t) => {
  const scene = sceneOf(common.Presence.Refused);
  const runs = [runOf("q"), runOf("r")];
  await Promise.all(
    runs.map((run) =>
      scene.detector.investigate(runnerFixture.createRunner(), run),
    ),
  );
  t.is(scene.probes, 1);
  t.is(scene.crashes.length, 1);
  t.deepEqual(
    scene.crashes[0].runs.map(({ request }) => request),
    ["q", "r"],
  );
  t.is(scene.crashes[0].evidence, runnerCrash.CrashEvidence.Refused);
});

test("a run that is given up after its runner's end is explained by it", async (t) => {
  const scene = sceneOf(common.Presence.Refused);
  await scene.detector.investigate(runnerFixture.createRunner(), runOf("q"));
  await scene.detector.investigate(runnerFixture.createRunner(), runOf("late"));
  t.is(scene.probes, 1);
  t.is(scene.crashes.length, 2);
  t.is(scene.crashes[1].runs[0].request, "late");
  t.is(scene.crashes[1].endedAt, scene.crashes[0].endedAt);
  t.is(scene.crashes[1].evidence, runnerCrash.CrashEvidence.Known);
});

// An answer that a sound runner broke off must not count as the runner's end.
test("a runner that accepts connections has not ended", async (t) => {
  const scene = sceneOf(common.Presence.Listening);
  await scene.detector.investigate(runnerFixture.createRunner(), runOf());
  const runners = [
    runnerFixture.createRunner({ identifier: "i-2", bornAt: 9 }),
  ];
  scene.detector.applyList({ version: 2, runners });
  t.deepEqual(scene.crashes, []);
});

// A link that is cut, a host that froze and one that lost power say nothing; only the
// last one's runner is listed under a new life afterwards.
test("a silent runner has ended once another life is listed in its place", async (t) => {
  const scene = sceneOf(common.Presence.Silent);
  await scene.detector.investigate(runnerFixture.createRunner(), runOf());
  scene.detector.applyList({ version: 2, runners: [] });
  scene.detector.applyList({
    version: 3,
    runners: [runnerFixture.createRunner()],
  });
  t.deepEqual(scene.crashes, []);
  scene.detector.applyList({
    version: 4,
    runners: [runnerFixture.createRunner({ bornAt: 2 })],
  });
  t.is(scene.crashes.length, 1);
  t.is(scene.crashes[0].evidence, runnerCrash.CrashEvidence.Replaced);
});

// Runners that leave as planned may cut off what they still run.
test("the end of a runner that is leaving explains nothing", async (t) => {
  const scene = sceneOf(common.Presence.Refused, false);
  await scene.detector.investigate(runnerFixture.createRunner(), runOf());
  t.is(scene.probes, 0);
  t.deepEqual(scene.crashes, []);
});

test("what another entry saw explains the runs that broke off here", async (t) => {
  const scene = sceneOf(common.Presence.Silent);
  const run = runOf();
  await scene.detector.investigate(runnerFixture.createRunner(), run);
  const endedAt = common.now() - 5;
  scene.detector.applyReportedCrash(INCARNATION, endedAt);
  scene.detector.applyReportedCrash(INCARNATION, endedAt);
  t.is(scene.crashes.length, 1);
  t.is(scene.crashes[0].endedAt, endedAt);
  t.is(scene.crashes[0].evidence, runnerCrash.CrashEvidence.Known);
});
