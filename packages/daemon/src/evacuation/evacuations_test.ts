import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as traffic from "@geraniumkeel/traffic";
import * as evacuationsModule from "./evacuations.ts";

const test = ava.default;

interface Scene {
  evacuations: evacuationsModule.Evacuations;
  logger: common.RecordingLogger;
  /** Highest version that a peer reports. */
  reported: { version: number };
  /** Whether the entry trusts the epoch of the table. */
  trusted: { now: boolean };
}

function createScene(): Scene {
  const logger = new common.RecordingLogger();
  const reported = { version: 0 };
  const trusted = { now: true };
  const evacuations = new evacuationsModule.Evacuations({
    epochTrusted: () => trusted.now,
    newestReported: () => reported.version,
    dataCentres: () => new Set(["x", "y"]),
    onEnd: () => {},
    logger,
    metrics: common.discardMetrics(),
  });
  return { evacuations, logger, reported, trusted };
}

function listOf(
  epoch: number,
  storeVersion: number,
  ...dataCentres: string[]
): traffic.EvacuationList {
  const version = traffic.evacuationListVersion(epoch, storeVersion);
  return { version, dataCentres };
}

async function until(condition: () => boolean): Promise<void> {
  const latest = common.now() + 5_000;
  while (!condition()) {
    if (common.now() > latest) throw new Error("condition not met in time");
    await common.sleep(10);
  }
}

function codesOf({ logger }: Scene): common.EventCode[] {
  return logger.events.map(({ code }) => code);
}

// Guards against requests to an evacuated data centre in the moments after a start.
test("until the list is known all data centres are evacuated", (t) => {
  const { evacuations } = createScene();
  t.false(evacuations.known);
  t.true(evacuations.isEvacuated("y"));
  evacuations.list.offer(listOf(1, 4, "x"));
  t.true(evacuations.known);
  t.true(evacuations.isEvacuated("x"));
  t.false(evacuations.isEvacuated("y"));
});

test("a list is in force at once, also one of a peer", (t) => {
  const scene = createScene();
  const { evacuations } = scene;
  evacuations.list.offer(listOf(1, 4));
  t.false(evacuations.isEvacuated("x"));
  evacuations.list.offer(listOf(1, 5, "x"));
  t.true(evacuations.isEvacuated("x"));
  evacuations.list.offer(listOf(1, 6));
  t.false(evacuations.isEvacuated("x"));
  const { EvacuationStarted, EvacuationEnded } = common.EventCode;
  t.deepEqual(codesOf(scene), [EvacuationStarted, EvacuationEnded]);
});

// Guards against the loss of an evacuation when the table is restored from a copy of
// before it, until the operator's rows are written again.
test("after a restore a missing row ends an evacuation only after 2 s", async (t) => {
  const scene = createScene();
  const { evacuations } = scene;
  evacuations.list.offer(listOf(1, 90, "x"));
  t.true(evacuations.isEvacuated("x"));
  const restoredAt = common.now();
  evacuations.list.offer(listOf(2, 60));
  t.true(evacuations.isEvacuated("x"));
  t.true(evacuations.retaining);
  const { version } = evacuations.list;
  evacuations.list.prove(version, common.instant());
  await until(() => common.now() - restoredAt > 2_100);
  // Nothing shows yet that the row was not written within the 2 s.
  t.true(evacuations.isEvacuated("x"));
  evacuations.list.prove(version, common.instant());
  t.false(evacuations.isEvacuated("x"));
  t.false(evacuations.retaining);
  const { EvacuationStarted, EvacuationEnded } = common.EventCode;
  t.deepEqual(codesOf(scene), [EvacuationStarted, EvacuationEnded]);
});

// Guards against a confirmed epoch whose table lacks an evacuation: the configuration
// was read in the new epoch, and the list of evacuations not yet.
test("an epoch is confirmed only with a list that was read in it", (t) => {
  const { evacuations } = createScene();
  t.false(evacuations.mayConfirm(1));
  evacuations.list.offer(listOf(1, 90, "x"));
  t.true(evacuations.mayConfirm(1));
  t.false(evacuations.retaining);
  t.false(evacuations.mayConfirm(2));
  evacuations.list.offer(listOf(2, 60));
  t.false(evacuations.mayConfirm(2));
  evacuations.list.offer(listOf(2, 61, "x"));
  t.true(evacuations.mayConfirm(2));
});

test("a row that is written again after a restore decides at once", (t) => {
  const { evacuations } = createScene();
  evacuations.list.offer(listOf(1, 90, "x"));
  t.true(evacuations.isEvacuated("x"));
  evacuations.list.offer(listOf(2, 60));
  t.true(evacuations.isEvacuated("x"));
  evacuations.list.offer(listOf(2, 61, "x"));
  t.true(evacuations.isEvacuated("x"));
  t.false(evacuations.retaining);
  evacuations.list.offer(listOf(2, 62));
  t.false(evacuations.isEvacuated("x"));
});

// Guards against an entry that starts just after the table was restored, and reads
// only the table without the row.
test("an entry that starts after a restore learns what its peers retain", async (t) => {
  const other = createScene().evacuations;
  other.list.offer(listOf(1, 90, "x"));
  t.true(other.isEvacuated("x"));
  const { evacuations, reported, trusted } = createScene();
  trusted.now = false;
  const restored = listOf(2, 60);
  other.list.offer(restored);
  t.true(other.isEvacuated("x"));
  evacuations.list.offer(restored);
  // No peer is linked yet.
  t.true(evacuations.known);
  reported.version = other.list.version;
  t.false(evacuations.known);
  t.true(evacuations.isEvacuated("y"));
  const told = other.list.value;
  if (!told) return t.fail();
  evacuations.list.offer(told);
  trusted.now = true;
  t.true(evacuations.known);
  reported.version += 2;
  t.true(evacuations.known);
  t.true(evacuations.isEvacuated("x"));
  t.false(evacuations.isEvacuated("y"));
  await until(() => {
    evacuations.list.prove(told.version, common.instant());
    return !evacuations.isEvacuated("x");
  });
});

test("what peers retain beside this entry's own is added", (t) => {
  const { evacuations } = createScene();
  evacuations.list.offer(listOf(1, 90, "x"));
  t.true(evacuations.isEvacuated("x"));
  evacuations.list.offer(traffic.withRetained(listOf(2, 60), ["y"]));
  t.true(evacuations.isEvacuated("x"));
  t.true(evacuations.isEvacuated("y"));
});

test("a data centre in which nothing is is logged once", async (t) => {
  const scene = createScene();
  const { evacuations, logger } = scene;
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  evacuations.list.offer(listOf(1, 1, "nowhere"));
  void evacuations.run(stop.signal);
  const { EvacuationUnknown } = common.EventCode;
  const told = () =>
    logger.events.filter(({ code }) => code === EvacuationUnknown).length;
  await until(() => told() === 1);
  evacuations.list.offer(listOf(1, 2, "nowhere", "x"));
  await until(() => logger.events.length === 3);
  t.is(told(), 1);
  t.false(evacuations.isEvacuated("y"));
});
