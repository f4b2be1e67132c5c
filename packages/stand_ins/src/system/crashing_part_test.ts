import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as traffic from "@geraniumkeel/traffic";
import * as gateways from "../gateways/gateways.ts";
import type * as lockStepPool from "../gateways/lock_step_pool.ts";
import * as partScene from "../gateways/part_scene.ts";

const test = ava.default;

/** Crashes after which requests with a part may be sent a few times more. */
const CRASHES_ALLOWED = 5;
/** Time after the last of these within which all entries know, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const SENDS_ALLOWED = 3;
/** Time after which sound requests are served as if nothing had happened. */
const SERVED_MILLISECONDS = 6_000;
/** Sound requests by which their service is judged, at least. */
const LEAST_SERVED = 20;
const ROWS = { from: "quarantine/", to: "quarantine0", limit: 10 };
/** Within this time crashes that are known are written to the table. */
const ROWS_MILLISECONDS = 30_000;
/** Time for which requests come, in milliseconds. */
const LOAD_MILLISECONDS = 14_000;

/** When sends are counted from; never if too few ranks crashed. */
function knownAt(crashes: lockStepPool.LockStepCrash[]): number {
  const at = crashes.map((crash) => crash.at).sort((a, b) => a - b);
  return at.length < CRASHES_ALLOWED
    ? Infinity
    : at[CRASHES_ALLOWED - 1] + KNOWN_MILLISECONDS;
}

/** Checks that a part was soon sent to no more ranks. */
function checkSends(
  t: ava.ExecutionContext,
  scene: partScene.PartScene,
  part = partScene.BAD_PART,
): void {
  const crashes = partScene.crashesOf(scene, part);
  t.log(`${crashes.length} crashes under ${part}`);
  t.true(crashes.length > 0);
  const late = partScene.sendsAfter(scene, knownAt(crashes), part);
  t.true(late.length <= SENDS_ALLOWED, `${late.length} sends of ${part}`);
}

/** Number of rows of requests and parts in quarantine. */
async function rowsOf(scene: partScene.PartScene): Promise<number> {
  const rows = await scene.table.range(ROWS);
  return rows._unsafeUnwrap().length;
}

/** Resolves once the quarantine has written a row. */
async function untilRows(scene: partScene.PartScene): Promise<void> {
  const deadline = common.now() + ROWS_MILLISECONDS;
  while ((await rowsOf(scene)) === 0) {
    if (common.now() > deadline) throw new Error("no rows in time");
    await common.sleep(10);
  }
}

/** Checks that sound requests are served soon after the last crash allowed. */
function checkServed(
  t: ava.ExecutionContext,
  scene: partScene.PartScene,
  sound: partScene.SentPart[],
): void {
  const crashes = partScene.crashesOf(scene);
  const proving = crashes[Math.min(crashes.length, CRASHES_ALLOWED) - 1];
  const servedFrom = proving.at + SERVED_MILLISECONDS;
  const after = sound.filter(({ sentAt }) => sentAt > servedFrom);
  t.true(after.length >= LEAST_SERVED, `${after.length} sent`);
  const share = partScene.wholeShare(after);
  t.true(share >= 0.5, `${share} served`);
}

// Guards against a part of many different prompts that crashes rank after rank, as each
// request alone is at too few crashes to be quarantined.
test("requests with a part that crashed five ranks are soon sent to no more", async (t) => {
  const scene = await partScene.startPartScene(t);
  scene.pool.crashingParts.add(partScene.BAD_PART);
  const stopSound = partScene.sendParts(t, scene, partScene.SOUND_LOAD);
  const stopCrashing = partScene.sendParts(t, scene, partScene.crashingLoad());
  await common.sleep(LOAD_MILLISECONDS);
  await stopCrashing();
  const sound = await stopSound();
  checkSends(t, scene);
  checkServed(t, scene, sound);
});

// Guards against a part found first that hides another one, or a whole request that
// crashes ranks, and against all of them hidden by ranks that crash by themselves.
test("several parts and a request that crash ranks are each soon sent to no more", async (t) => {
  const scene = await partScene.startPartScene(t);
  const { pool } = scene;
  for (const part of ["one", "two", "three"]) pool.crashingParts.add(part);
  pool.crashingBodies.add("crashing body");
  const stops = [
    partScene.crashingLoad(["one"], { seed: 3 }),
    partScene.crashingLoad(["two", "three"], { seed: 4 }),
    partScene.crashingLoad(["three"], { seed: 5 }),
    { ...partScene.SOUND_LOAD, seed: 6 },
  ].map((load) => partScene.sendParts(t, scene, load));
  const loadsAtFirst = stops.length;
  const random = new common.Random(7);
  const unrelated = setInterval(
    () => pool.crash(random.pick(pool.ranks)),
    2_500,
  );
  t.teardown(() => clearInterval(unrelated));
  // At first the second part comes with the third alone, which may be found first.
  const aloneFrom = common.now() + LOAD_MILLISECONDS / 3;
  const until = common.now() + LOAD_MILLISECONDS;
  while (common.now() < until) {
    if (stops.length === loadsAtFirst && common.now() > aloneFrom) {
      const alone = partScene.crashingLoad(["two"], { seed: 9 });
      stops.push(partScene.sendParts(t, scene, alone));
    }
    const entry = random.below(3);
    await scene.send(entry, "crashing body", { parts: ["shared-1"] });
    await common.sleep(300);
  }
  clearInterval(unrelated);
  for (const stop of stops) await stop();
  for (const part of ["one", "two", "three"]) checkSends(t, scene, part);
  t.true(partScene.isQuarantinedEverywhere(scene, "one"));
});

// Guards against trust in a part for what it was before: from some moment on it may
// crash ranks.
test("a part that was sound for long is stopped as any other", async (t) => {
  const scene = await partScene.startPartScene(t);
  const stopSound = partScene.sendParts(t, scene, partScene.SOUND_LOAD);
  const stopCrashing = partScene.sendParts(t, scene, partScene.crashingLoad());
  await common.sleep(3_000);
  t.deepEqual(scene.pool.crashes, []);
  scene.pool.crashingParts.add(partScene.BAD_PART);
  await common.sleep(LOAD_MILLISECONDS);
  await stopCrashing();
  const sound = await stopSound();
  checkSends(t, scene);
  checkServed(t, scene, sound);
});

// Guards against the refusal of all requests for a part that they all carry, and that is
// at each crash.
test("a part that all requests carry is not refused with the one that crashes ranks", async (t) => {
  const scene = await partScene.startPartScene(t);
  scene.pool.crashingParts.add(partScene.BAD_PART);
  const withCommon = (load: partScene.PartLoad): partScene.PartLoad => ({
    ...load,
    partsOf: (number, random) => ["common", ...load.partsOf(number, random)],
  });
  const stopSound = partScene.sendParts(
    t,
    scene,
    withCommon(partScene.SOUND_LOAD),
  );
  const stopCrashing = partScene.sendParts(
    t,
    scene,
    withCommon(partScene.crashingLoad()),
  );
  await gateways.until(() => partScene.isQuarantinedEverywhere(scene));
  const until = common.now() + 3_000;
  while (common.now() < until) {
    t.false(partScene.quarantinedParts(scene).has("common"));
    await common.sleep(20);
  }
  await stopCrashing();
  await stopSound();
});

// Guards against sound parts held for ranks that crash for reasons of their own.
test("hardly a sound request is refused while ranks crash by themselves", async (t) => {
  const scene = await partScene.startPartScene(t);
  const { pool } = scene;
  const stopSound = partScene.sendParts(t, scene, partScene.SOUND_LOAD);
  const random = new common.Random(8);
  for (let wave = 0; wave < 6; wave++) {
    await common.sleep(1_500);
    for (let rank = 0; rank < 3; rank++) pool.crash(random.pick(pool.ranks));
  }
  const sound = await stopSound();
  const refused = partScene.refusedForParts(sound);
  t.true(refused.length <= sound.length / 100, `${refused.length} refused`);
});

// Guards against a caller that is told "not run" of a request that may have run, and
// against a second run of it.
test("a request that may not be repeated is told the truth about its part", async (t) => {
  const scene = await partScene.startPartScene(t, {
    repeatability: traffic.Repeatability.AtMostOnce,
  });
  scene.pool.crashingParts.add(partScene.BAD_PART);
  const stopSound = partScene.sendParts(t, scene, partScene.SOUND_LOAD);
  const stopCrashing = partScene.sendParts(t, scene, partScene.crashingLoad());
  await gateways.until(() => partScene.isQuarantinedEverywhere(scene));
  await common.sleep(1_000);
  const crashing = await stopCrashing();
  await stopSound();
  const refused = partScene.refusedForParts(crashing);
  t.true(refused.length > 0);
  for (const { seen } of refused) t.is(seen.status, daemon.RefusalKind.NotRun);
  const { begun } = scene.pool;
  t.is(new Set(begun).size, begun.length);
});

// Guards against as many crashes again once all entries have lost their memory.
test("a part stays in quarantine when all entries start anew", async (t) => {
  const scene = await partScene.startPartScene(t);
  await partScene.provoke(t, scene);
  await untilRows(scene);
  const hosts = scene.running.map(({ gateway }) => gateway.host);
  for (const host of hosts) await scene.stopOne(host);
  for (const host of hosts) await scene.startOne(host);
  await gateways.until(() => partScene.isQuarantinedEverywhere(scene));
  const before = scene.pool.crashes.length;
  const seen = await scene.send(0, "another", { parts: [partScene.BAD_PART] });
  t.is(seen.status, daemon.RefusalKind.NotRun);
  t.regex(seen.refusal?.reason ?? "", /quarantine/);
  t.true((seen.refusal?.retryAfterMilliseconds ?? 0) > 10_000);
  t.is(scene.pool.crashes.length, before);
});

// Guards against entries that take requests before they know what is in quarantine: all
// start anew while requests with the part go on coming.
test("entries that start send no request with a part that is in quarantine", async (t) => {
  const scene = await partScene.startPartScene(t);
  await partScene.provoke(t, scene);
  await untilRows(scene);
  const hosts = scene.running.map(({ gateway }) => gateway.host);
  for (const host of hosts) await scene.stopOne(host);
  const before = scene.pool.arrivals.length;
  const started = Promise.all(hosts.map((host) => scene.startOne(host)));
  let isStarted = false;
  void started.then(() => (isStarted = true));
  let sent = 0;
  while (!isStarted) {
    for (let entry = 0; entry < scene.running.length; entry++)
      void scene.send(entry, `${sent++}`, { parts: [partScene.BAD_PART] });
    await common.sleep(1);
  }
  t.true(sent > 0);
  t.is(scene.pool.arrivals.length, before);
});

// Guards against a quarantine that nobody can end.
test("a part that an operator lifts is sent to ranks again", async (t) => {
  const scene = await partScene.startPartScene(t);
  await partScene.provoke(t, scene);
  scene.pool.crashingParts.clear();
  await common.sleep(1_000);
  const { quarantine } = scene.running[1].gateway;
  for (const { fingerprint } of quarantine.cases())
    quarantine.lift(fingerprint);
  await gateways.until(() => partScene.quarantinedParts(scene).size === 0);
  const seen = await scene.send(0, "another", { parts: [partScene.BAD_PART] });
  t.is(seen.status, "whole");
});
