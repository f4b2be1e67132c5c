import type * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as gateways from "./gateways.ts";
import * as lockStepPool from "./lock_step_pool.ts";

/** Part that crashes the ranks. */
export const BAD_PART = "bad";
/** Parts that sound requests share, one each, as popular as their order tells. */
const SHARED_PARTS = 60;

const POOL: lockStepPool.LockStepShape = {
  service: "s",
  groups: 2,
  ranks: 8,
  slots: 8,
  pace: { read: { least: 20, most: 60 }, first: 20, event: 20, events: 10 },
  stallMilliseconds: 300,
  returnMilliseconds: 900,
  seed: 1,
};

/** Entries before a pool of lock-step groups. */
export type PartScene = gateways.Gateways<lockStepPool.LockStepPool>;

/** Starts entries before lock-step groups for one test. */
export async function startPartScene(
  t: ava.ExecutionContext,
  change: Partial<gateways.GatewaysShape> = {},
  poolChange: Partial<lockStepPool.LockStepShape> = {},
): Promise<PartScene> {
  const pool = new lockStepPool.LockStepPool({ ...POOL, ...poolChange });
  const entries = await gateways.Gateways.start(pool, {
    inLockStep: true,
    ...change,
  });
  t.teardown(() => entries.close());
  return entries;
}

/** A request that a caller sent, and what came of it. */
export interface SentPart {
  parts: readonly string[];
  sentAt: number;
  seen: gateways.Seen;
}

/** How callers send requests with parts. */
export interface PartLoad {
  requestsPerSecond: number;
  /** Parts of one request, by its number. */
  partsOf: (number: number, random: common.Random) => string[];
  /** Times that a caller sends a request again that failed. */
  retries: number;
  seed: number;
}

/**
 * Sends requests, no two alike, until the returned function is called; it gives
 * them all.
 */
export function sendParts(
  t: ava.ExecutionContext,
  scene: PartScene,
  load: PartLoad,
): () => Promise<SentPart[]> {
  const random = new common.Random(load.seed);
  const sent: Promise<SentPart[]>[] = [];
  const timer = setInterval(() => {
    const parts = load.partsOf(sent.length, random);
    const body = `${load.seed} ${sent.length}`;
    const entry = random.below(scene.running.length);
    sent.push(sendOne(scene, { body, parts, entry, tries: 1 + load.retries }));
  }, 1_000 / load.requestsPerSecond);
  t.teardown(() => clearInterval(timer));
  return async () => {
    clearInterval(timer);
    return (await Promise.all(sent)).flat();
  };
}

async function sendOne(
  scene: PartScene,
  request: { body: string; parts: string[]; entry: number; tries: number },
): Promise<SentPart[]> {
  const { body, parts } = request;
  const sent: SentPart[] = [];
  for (let attempt = 0; attempt < request.tries; attempt++) {
    const sentAt = common.now();
    const seen = await scene.send(request.entry + attempt, body, { parts });
    sent.push({ parts, sentAt, seen });
    if (seen.status === "whole") break;
  }
  return sent;
}

/** A shared part, the first ones several times as often as the last. */
export function sharedPart(random: common.Random): string {
  const rank = Math.floor(SHARED_PARTS * random.fraction() ** 2);
  return `shared-${rank}`;
}

/** Crashes that a part caused. */
export function crashesOf(
  scene: PartScene,
  part = BAD_PART,
): lockStepPool.LockStepCrash[] {
  return scene.pool.crashes.filter(({ parts }) => parts.includes(part));
}

/** Requests with a part that reached a rank after a moment. */
export function sendsAfter(
  scene: PartScene,
  moment: number,
  part = BAD_PART,
): lockStepPool.LockStepArrival[] {
  return scene.pool.arrivals.filter(
    ({ parts, at }) => parts.includes(part) && at > moment,
  );
}

/** Part of the requests that were answered whole. */
export function wholeShare(sent: SentPart[]): number {
  return (
    sent.filter(({ seen }) => seen.status === "whole").length / sent.length
  );
}

/** Callers whose requests are sound, each with a shared part. */
export const SOUND_LOAD: PartLoad = {
  requestsPerSecond: 40,
  partsOf: (_, random) => [sharedPart(random)],
  retries: 0,
  seed: 1,
};

/** Callers whose requests carry these parts besides a shared one. */
export function crashingLoad(
  parts: string[] = [BAD_PART],
  change: Partial<PartLoad> = {},
): PartLoad {
  return {
    requestsPerSecond: 3,
    partsOf: (_, random) => [sharedPart(random), ...parts],
    retries: 1,
    seed: 2,
    ...change,
  };
}

/** Parts that any entry has in quarantine. */
export function quarantinedParts(scene: PartScene): Set<string> {
  const cases = scene.running.flatMap(({ gateway }) =>
    gateway.quarantine.cases(),
  );
  return new Set(cases.flatMap(({ part }) => part ?? []));
}

/** Whether each entry has a part in quarantine. */
export function isQuarantinedEverywhere(
  scene: PartScene,
  part = BAD_PART,
): boolean {
  return scene.running.every(({ gateway }) =>
    gateway.quarantine.cases().some((one) => one.part === part),
  );
}

/** Requests that were refused for a part in quarantine. */
export function refusedForParts(sent: SentPart[]): SentPart[] {
  return sent.filter(({ seen }) => seen.refusal?.reason.includes("quarantine"));
}

/** Sends requests until each entry has the part in quarantine. */
export async function provoke(
  t: ava.ExecutionContext,
  scene: PartScene,
): Promise<void> {
  scene.pool.crashingParts.add(BAD_PART);
  const stopSound = sendParts(t, scene, SOUND_LOAD);
  const stopCrashing = sendParts(t, scene, crashingLoad());
  await gateways.until(() => isQuarantinedEverywhere(scene));
  await stopCrashing();
  await stopSound();
}
