import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as runnerFixture from "@geraniumkeel/traffic/runner_fixture";
import * as runnerCrash from "./runner_crash.ts";
import * as crashDetector from "./crash_detector.ts";

const test = ava.default;

const LIFE = traffic.incarnationOf(runnerFixture.createRunner());

function runOf(request = "q"): runnerCrash.InterruptedRun {
  return { request, fingerprint: "f", startedAt: common.now() };
}

interface Scene {
  watch: crashDetector.CrashDetector;
  ends: runnerCrash.RunnerCrash[];
  looks: number;
}

function sceneOf(presence: common.Presence, inUse = true): Scene {
  const ends: runnerCrash.RunnerCrash[] = [];
  const lives = new Map<string, number>();
  const scene: Scene = {
    ends,
    looks: 0,
    watch: new crashDetector.CrashDetector({
      presenceOf: async () => {
        scene.looks++;
        return presence;
      },
      inUse: () => inUse,
      crashTimeOf: (life) => lives.get(life),
      onCrash: (end) => {
        ends.push(end);
        lives.set(end.life, end.endedAt);
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
      scene.watch.investigate(runnerFixture.createRunner(), run),
    ),
  );
  t.is(scene.looks, 1);
  t.is(scene.ends.length, 1);
  t.deepEqual(
    scene.ends[0].runs.map(({ request }) => request),
    ["q", "r"],
  );
  t.is(scene.ends[0].evidence, runnerCrash.CrashEvidence.Refused);
});

test("a run that is given up after its runner's end is explained by it", async (t) => {
  const scene = sceneOf(common.Presence.Refused);
  await scene.watch.investigate(runnerFixture.createRunner(), runOf("q"));
  await scene.watch.investigate(runnerFixture.createRunner(), runOf("late"));
  t.is(scene.looks, 1);
  t.is(scene.ends.length, 2);
  t.is(scene.ends[1].runs[0].request, "late");
  t.is(scene.ends[1].endedAt, scene.ends[0].endedAt);
  t.is(scene.ends[1].evidence, runnerCrash.CrashEvidence.Known);
});

// An answer that a sound runner broke off must not count as the runner's end.
test("a runner that accepts connections has not ended", async (t) => {
  const scene = sceneOf(common.Presence.Listening);
  await scene.watch.investigate(runnerFixture.createRunner(), runOf());
  const runners = [
    runnerFixture.createRunner({ identifier: "i-2", bornAt: 9 }),
  ];
  scene.watch.applyList({ version: 2, runners });
  t.deepEqual(scene.ends, []);
});

// A link that is cut, a host that froze and one that lost power say nothing; only the
// last one's runner is listed under a new life afterwards.
test("a silent runner has ended once another life is listed in its place", async (t) => {
  const scene = sceneOf(common.Presence.Silent);
  await scene.watch.investigate(runnerFixture.createRunner(), runOf());
  scene.watch.applyList({ version: 2, runners: [] });
  scene.watch.applyList({
    version: 3,
    runners: [runnerFixture.createRunner()],
  });
  t.deepEqual(scene.ends, []);
  scene.watch.applyList({
    version: 4,
    runners: [runnerFixture.createRunner({ bornAt: 2 })],
  });
  t.is(scene.ends.length, 1);
  t.is(scene.ends[0].evidence, runnerCrash.CrashEvidence.Replaced);
});

// Runners that leave as planned may cut off what they still run.
test("the end of a runner that is leaving explains nothing", async (t) => {
  const scene = sceneOf(common.Presence.Refused, false);
  await scene.watch.investigate(runnerFixture.createRunner(), runOf());
  t.is(scene.looks, 0);
  t.deepEqual(scene.ends, []);
});

test("what another entry saw explains the runs that broke off here", async (t) => {
  const scene = sceneOf(common.Presence.Silent);
  const run = runOf();
  await scene.watch.investigate(runnerFixture.createRunner(), run);
  const endedAt = common.now() - 5;
  scene.watch.applyReportedCrash(LIFE, endedAt);
  scene.watch.applyReportedCrash(LIFE, endedAt);
  t.is(scene.ends.length, 1);
  t.is(scene.ends[0].endedAt, endedAt);
  t.is(scene.ends[0].evidence, runnerCrash.CrashEvidence.Known);
});
