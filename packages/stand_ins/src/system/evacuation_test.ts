import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as gateways from "../gateways/gateways.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

/** Bound from the store's acknowledgement to the last new request there. */
const BOUND_MILLISECONDS = 5_000;
/** Time without requests at evacuated runners that a test watches for. */
const WATCHED_MILLISECONDS = 1_000;
/** Time from a restore to the operator's rows; less than 2 s. */
const REWRITE_MILLISECONDS = 1_900;
const CUT_HOST = "entry-1";

/** Half of the runners are in the data centre x, the others in y. */
const POOL = {
  runMilliseconds: 30,
  dataCentreOf: (place: number) => (place % 2 === 0 ? "x" : "y"),
};

function startEntries(
  t: ava.ExecutionContext,
  entries = 3,
): Promise<gateways.Gateways> {
  return scene.startEntries(t, { entries }, POOL);
}

function isIn(dataCentre: string, runner: string): boolean {
  return POOL.dataCentreOf(Number(runner.split("-")[1])) === dataCentre;
}

function arrivalsIn(
  { pool }: gateways.Gateways,
  dataCentre: string,
  from: number,
): number {
  return pool.arrivals.filter(
    ({ runner, at }) => at >= from && isIn(dataCentre, runner),
  ).length;
}

async function untilInForce(
  { running }: gateways.Gateways,
  dataCentre: string,
  expected = true,
): Promise<void> {
  await gateways.until(() =>
    running.every(
      ({ gateway }) =>
        gateway.evacuations.inForce().has(dataCentre) === expected,
    ),
  );
}

/** Watches for requests in a data centre; gives how many others there were. */
async function watchNothingIn(
  t: ava.ExecutionContext,
  entries: gateways.Gateways,
  dataCentre: string,
): Promise<void> {
  const from = common.now();
  await common.sleep(WATCHED_MILLISECONDS);
  t.is(arrivalsIn(entries, dataCentre, from), 0);
  t.true(arrivalsIn(entries, dataCentre === "x" ? "y" : "x", from) > 0);
}

// Guards against requests to an evacuated data centre, under load at all entries. The
// row is all that counts: the answer to its write may be lost.
test("an evacuation is in force at all entries in time, until it is ended", async (t) => {
  const entries = await startEntries(t);
  const stop = scene.load(t, entries);
  await gateways.until(() => arrivalsIn(entries, "x", 0) > 0);
  const writtenAt = common.now();
  entries.evacuate("x");
  await untilInForce(entries, "x");
  t.true(common.now() - writtenAt < BOUND_MILLISECONDS);
  await watchNothingIn(t, entries, "x");
  entries.evacuate();
  await untilInForce(entries, "x", false);
  const endedAt = common.now();
  await gateways.until(() => arrivalsIn(entries, "x", endedAt) > 0);
  const seen = await stop();
  t.true(seen.every(({ status }) => status === "whole"));
});

test("an evacuation that is ended and set again within a second is in force", async (t) => {
  const entries = await startEntries(t);
  scene.load(t, entries);
  entries.evacuate("x");
  await untilInForce(entries, "x");
  entries.evacuate();
  await gateways.until(() =>
    entries.running.some(
      ({ gateway }) => !gateway.evacuations.inForce().has("x"),
    ),
  );
  entries.evacuate("x");
  await untilInForce(entries, "x");
  await watchNothingIn(t, entries, "x");
});

// Guards against an entry that the store refuses, and that goes on by its old list.
test("an entry cut off from the store learns of an evacuation from its peers", async (t) => {
  const entries = await startEntries(t);
  scene.load(t, entries);
  entries.cutFromStore.add(CUT_HOST);
  const writtenAt = common.now();
  entries.evacuate("x");
  await untilInForce(entries, "x");
  t.true(common.now() - writtenAt < BOUND_MILLISECONDS);
  await watchNothingIn(t, entries, "x");
});

test("an entry without peers reads the store itself", async (t) => {
  const entries = await startEntries(t, 1);
  scene.load(t, entries);
  entries.evacuate("x");
  await untilInForce(entries, "x");
  await watchNothingIn(t, entries, "x");
});

// Guards against an entry that neither the store nor its peers tell of an evacuation:
// it is not ready, and sends no request that needs a key.
test("an entry cut off from the store and without peers stops in time", async (t) => {
  const entries = await startEntries(t, 1);
  entries.cutFromStore.add("entry-0");
  const writtenAt = common.now();
  entries.evacuate("x");
  await gateways.until(() => !entries.running[0].gateway.ready);
  t.true(common.now() - writtenAt < BOUND_MILLISECONDS);
  const seen = await entries.send(0, "late");
  t.is(seen.status, daemon.RefusalKind.NotRun);
});

// Guards against entries that start without the list and use every runner.
test("an evacuation stays in force while all entries are started anew", async (t) => {
  const entries = await startEntries(t);
  entries.evacuate("x");
  await untilInForce(entries, "x");
  const hosts = entries.running.map(({ gateway }) => gateway.host);
  for (const host of hosts) await entries.stopOne(host);
  const from = common.now();
  const starting = Promise.all(hosts.map((host) => entries.startOne(host)));
  await gateways.until(() => entries.running.length > 0);
  const stop = scene.load(t, entries);
  await starting;
  await watchNothingIn(t, entries, "x");
  await stop();
  t.is(arrivalsIn(entries, "x", from), 0);
});

// Guards against the seconds after the table was restored from a copy of before the
// evacuation, until the operator's rows are written again; also for an entry that is
// started in this time.
test("an evacuation stays in force while a restored table lacks its row", async (t) => {
  const entries = await startEntries(t);
  const copy = entries.data.copy();
  entries.evacuate("x");
  await untilInForce(entries, "x");
  const from = common.now();
  const stop = scene.load(t, entries);
  entries.data.comeBackFrom(copy);
  entries.evacuations = [];
  entries.evacuationsVersion = 1;
  const rewrite = setTimeout(() => entries.evacuate("x"), REWRITE_MILLISECONDS);
  t.teardown(() => clearTimeout(rewrite));
  await entries.stopOne(CUT_HOST);
  await entries.startOne(CUT_HOST);
  await gateways.until(() => entries.evacuations.length > 0);
  await watchNothingIn(t, entries, "x");
  await stop();
  t.is(arrivalsIn(entries, "x", from), 0);
});

// Guards against an evacuation that nobody can end: the operator ended it in the
// seconds that the table has lost, or does not write the row again.
test("two seconds after a restore a missing row ends the evacuation", async (t) => {
  const entries = await startEntries(t);
  const copy = entries.data.copy();
  entries.evacuate("x");
  await untilInForce(entries, "x");
  entries.data.comeBackFrom(copy);
  entries.evacuations = [];
  entries.evacuationsVersion = 1;
  const restoredAt = common.now();
  await untilInForce(entries, "x", false);
  const milliseconds = common.now() - restoredAt;
  t.true(milliseconds >= 2_000, `${milliseconds} ms`);
});

test("requests are refused at once while all data centres are evacuated", async (t) => {
  const entries = await startEntries(t);
  entries.evacuate("x", "y");
  await untilInForce(entries, "y");
  const seen = await entries.send(0, "any");
  t.is(seen.status, daemon.RefusalKind.NotRun);
  t.true((seen.refusal?.retryAfterMilliseconds ?? 0) > 0);
});

// All entries of this deployment are in one data centre, "d".
test("callers are given all ready entries if all are in evacuated data centres", async (t) => {
  const entries = await startEntries(t);
  entries.evacuate("d");
  await untilInForce(entries, "d");
  const [{ gateway }] = entries.running;
  // A busy machine delays heartbeats, and an entry that is silent is not given.
  await gateways.until(
    () => gateway.entriesForCallers().length === entries.running.length,
  );
  t.pass();
});
