import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as gateways from "../gateways/gateways.ts";
import * as restCount from "../gateways/rest_count.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const WATCHED_MILLISECONDS = 7_000;

// Guards against an entry that goes on sending to a runner that asked it for rest.
test("a runner that turns an entry away gets nothing from it for as long as it asks", async (t) => {
  const entries = await scene.startEntries(t);
  const stopLoad = scene.load(t, entries);
  const { pool } = entries;
  for (const runner of pool.runners.slice(0, 3)) runner.restWanted = "3";
  await common.sleep(WATCHED_MILLISECONDS);
  const most = restCount.mostInRest(pool);
  t.true(most <= restCount.MOST_IN_REST, `${most} in a rest`);
  const seen = await stopLoad();
  t.true(seen.every(({ status }) => status === "whole"));
});

// Guards against callers that wait, or are told "not run" without a time, while all rest.
test("while all runners rest a request is refused at once, with the end of the first rest", async (t) => {
  const entries = await scene.startEntries(t);
  const { pool } = entries;
  for (const runner of pool.runners) runner.restWanted = "20";
  const toldAll = () => new Set(pool.turnAways.map(({ runner }) => runner));
  while (toldAll().size < pool.runners.length) await entries.send(0, "x");
  const startedAt = common.now();
  const { status, refusal } = await entries.send(0, "x");
  t.true(common.now() - startedAt < 100);
  t.is(status, daemon.RefusalKind.NotRun);
  const retryAfter = refusal?.retryAfterMilliseconds ?? 0;
  t.true(retryAfter > 10_000 && retryAfter <= 25_000, `${retryAfter} ms`);
});

// Guards against two entries that send all that waited as soon as a rest ends.
test("at the end of a rest not everything goes to the runner at once", async (t) => {
  const entries = await scene.startEntries(t, { entries: 2 }, { runners: 1 });
  const { pool } = entries;
  const [runner] = pool.runners;
  runner.restWanted = "1";
  await Promise.all([0, 1].map((entry) => entries.send(entry, "first")));
  const before = pool.arrivals.length;
  const waiting = Array.from({ length: 40 }, (_, entry) =>
    entries.send(entry, "waiting"),
  );
  await gateways.until(() => pool.arrivals.length > before);
  await common.sleep(30);
  t.true(pool.arrivals.length - before <= 2 * entries.running.length);
  runner.restWanted = undefined;
  const seen = await Promise.all(waiting);
  t.true(seen.some(({ status }) => status !== "failed"));
});
