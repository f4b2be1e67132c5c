import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as gateways from "../gateways/gateways.ts";
import * as poolRunner from "../gateways/pool_runner.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const ROWS = { from: "quarantine/", to: "quarantine0", limit: 10 };

async function rowsOf(entries: gateways.Gateways): Promise<number> {
  const rows = await entries.table.range(ROWS);
  return rows._unsafeUnwrap().length;
}

async function restartAll(entries: gateways.Gateways): Promise<void> {
  const hosts = entries.running.map(({ gateway }) => gateway.host);
  for (const host of hosts) await entries.stopOne(host);
  for (const host of hosts) await entries.startOne(host);
}

// When all entries lose power none is left to tell; the same request would take as many
// runners along again.
test("a request stays held when all entries start anew", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("kept");
  await scene.provoke(entries, body);
  while ((await rowsOf(entries)) === 0) await common.sleep(10);
  await restartAll(entries);
  await gateways.until(() => scene.isHeldEverywhere(entries));
  const before = entries.pool.arrivals.length;
  const { status } = await entries.send(0, body);
  t.is(status, daemon.RefusalKind.NotRun);
  t.is(entries.pool.arrivals.length, before);
});

// A lift that outlived no entry would come back from the row.
test("a request that was lifted stays lifted when all entries start anew", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("lifted");
  await scene.provoke(entries, body);
  while ((await rowsOf(entries)) === 0) await common.sleep(10);
  const { quarantine } = entries.running[1].gateway;
  const [held] = quarantine.cases();
  t.true(quarantine.lift(held.fingerprint));
  await gateways.until(() =>
    entries.running.every(
      ({ gateway }) => gateway.quarantine.cases().length === 0,
    ),
  );
  while ((await rowsOf(entries)) > 0) await common.sleep(10);
  await restartAll(entries);
  const before = entries.pool.arrivals.length;
  await entries.send(0, body);
  t.true(entries.pool.arrivals.length > before);
});

// Entries must not wait for a table service that is away, nor forget for it.
test("a request is held while the table service is away, and kept when it is back", async (t) => {
  const entries = await scene.startEntries(t);
  entries.data.away = true;
  await scene.provoke(entries, poolRunner.endingBody("away"));
  entries.data.away = false;
  while ((await rowsOf(entries)) === 0) await common.sleep(10);
  t.true(scene.isHeldEverywhere(entries));
});

// A new version may have mended it: one run shows, and no more than one.
test("a held request is tried once when all runners have another version", async (t) => {
  const entries = await scene.startEntries(t);
  const { pool } = entries;
  const body = poolRunner.endingBody("mended");
  await scene.provoke(entries, body);
  pool.version = "2";
  pool.announce();
  const onTrial = () =>
    entries.running.every(({ gateway }) =>
      gateway.quarantine.cases().every((one) => one.millisecondsLeft === 0),
    );
  await gateways.until(onTrial);
  const before = pool.arrivals.length;
  const endsBefore = scene.endsUnder(entries, body).length;
  await scene.comeAgain(entries, body, () => pool.arrivals.length > before, 6);
  await gateways.until(() => !onTrial());
  await Promise.all([0, 1, 2].map((entry) => entries.send(entry, body)));
  t.is(pool.arrivals.length, before + 1);
  t.is(scene.endsUnder(entries, body).length, endsBefore + 1);
});

test("a held request that a new version runs to its end is free again", async (t) => {
  const entries = await scene.startEntries(t);
  const { pool } = entries;
  const body = poolRunner.endingBody("mended for good");
  await scene.provoke(entries, body);
  pool.version = "2";
  for (const runner of pool.runners) runner.endsOnRequest = false;
  pool.announce();
  const seen = await scene.comeAgain(entries, body, () =>
    entries.running.every(
      ({ gateway }) => gateway.quarantine.cases().length === 0,
    ),
  );
  t.is(seen.filter(({ status }) => status === "whole").length, 1);
  const again = await Promise.all(
    [0, 1, 2].map((entry) => entries.send(entry, body)),
  );
  t.true(again.every(({ status }) => status === "whole"));
});
