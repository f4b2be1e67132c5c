import * as ava from "ava";
import * as common from "@geraniumkeel/common";
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
/** Time for which requests come, in milliseconds. */
const LOAD_MILLISECONDS = 14_000;

/** When sends are counted from; never if too few ranks crashed. */
function knownAt(crashes: lockStepPool.LockStepCrash[]): number {
  const at = crashes.map((crash) => crash.at).sort((a, b) => a - b);
  return at.length < CRASHES_ALLOWED
    ? Infinity
    : at[CRASHES_ALLOWED - 1] + KNOWN_MILLISECONDS;
}

// Guards against a part of many different prompts that crashes rank after rank, as each
// request alone is at too few crashes to be quarantined.
test("requests with a part that crashed five ranks are soon sent to no more", async (t) => {
  const scene = await partScene.startPartScene(t);
  scene.pool.crashingParts.add(partScene.BAD_PART);
  const stopSound = partScene.sendParts(t, scene, {
    requestsPerSecond: 40,
    partsOf: (_, random) => [partScene.sharedPart(random)],
    retries: 0,
    seed: 1,
  });
  const stopCrashing = partScene.sendParts(t, scene, {
    requestsPerSecond: 3,
    partsOf: (_, random) => [partScene.sharedPart(random), partScene.BAD_PART],
    retries: 1,
    seed: 2,
  });
  await common.sleep(LOAD_MILLISECONDS);
  await stopCrashing();
  const sound = await stopSound();
  const crashes = partScene.crashesOf(scene);
  t.log(`${crashes.length} crashes`);
  const late = partScene.sendsAfter(scene, knownAt(crashes));
  t.true(late.length <= SENDS_ALLOWED, `${late.length} sends`);
  const provingCrash = crashes[Math.min(crashes.length, CRASHES_ALLOWED) - 1];
  const servedFrom = provingCrash.at + SERVED_MILLISECONDS;
  const after = sound.filter(({ sentAt }) => sentAt > servedFrom);
  const share = partScene.wholeShare(after);
  t.true(share >= 0.5, `${share} served`);
});
