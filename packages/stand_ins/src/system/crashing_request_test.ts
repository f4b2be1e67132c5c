import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as daemon from "@geraniumkeel/daemon/forwarding_mod";
import * as traffic from "@geraniumkeel/traffic";
import * as gateways from "../gateways/gateways.ts";
import * as poolRunner from "../gateways/pool_runner.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

/** Ends after which a request may be sent to runners a few times more. */
const ENDS_ALLOWED = 3;
/** Time after the last of these within which all entries know, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const SENDS_ALLOWED = 3;
/** Time for which the request goes on coming after that. */
const WATCHED_MILLISECONDS = 3_000;

/** Sends a request again and again; its sends later than the rule allows. */
async function lateSends(
  entries: gateways.Gateways,
  body: string,
): Promise<number> {
  const endsSoFar = () => scene.endsUnder(entries, body);
  await scene.comeAgain(
    entries,
    body,
    () => endsSoFar().length >= ENDS_ALLOWED,
  );
  const knownAt = endsSoFar()[ENDS_ALLOWED - 1].at + KNOWN_MILLISECONDS;
  const until = knownAt + WATCHED_MILLISECONDS;
  await scene.comeAgain(entries, body, () => common.now() > until);
  return entries.pool.arrivals.filter(
    (arrival) => arrival.body === body && arrival.at > knownAt,
  ).length;
}

function wholeShare(seen: gateways.Seen[]): number {
  return seen.filter(({ status }) => status === "whole").length / seen.length;
}

// A request after which each runner ends that begins to run it comes again at every
// entry, and takes a runner along each time, as nothing is held against the request.
test("a request under which three runners ended is soon sent to no more", async (t) => {
  const entries = await scene.startEntries(t);
  const stopLoad = scene.load(t, entries);
  const late = await lateSends(entries, poolRunner.endingBody("one"));
  t.true(late <= SENDS_ALLOWED, `${late} sends`);
  const ordinary = await stopLoad();
  t.true(wholeShare(ordinary) > 0.9);
});

// Several such requests, each at all entries, beside runners that end by themselves.
test("several requests that end their runners are each soon sent to no more", async (t) => {
  const entries = await scene.startEntries(t, {}, { runners: 16 });
  const stopLoad = scene.load(t, entries);
  const { pool } = entries;
  const random = new common.Random(1);
  const unrelated = setInterval(() => pool.end(random.below(16)), 700);
  t.teardown(() => clearInterval(unrelated));
  const bodies = [
    poolRunner.endingBody("before any answer", 0),
    poolRunner.endingBody("soon"),
    poolRunner.endingBody("later", 700),
  ];
  const late = await Promise.all(
    bodies.map((body) => lateSends(entries, body)),
  );
  for (const sends of late) t.true(sends <= SENDS_ALLOWED, `${sends} sends`);
  clearInterval(unrelated);
  const ordinary = await stopLoad();
  const held = ordinary.filter(({ refusal }) =>
    refusal?.reason.includes("quarantine"),
  );
  t.deepEqual(held, []);
});

// The same request at two entries at once: neither waits for what the other sees.
test("copies of a request that come at once end few runners", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("copies");
  await scene.provoke(entries, body, 2);
  const ended = scene.endsUnder(entries, body).length;
  t.true(ended <= 6, `${ended} ends`);
  const before = entries.pool.arrivals.length;
  await Promise.all([0, 1, 2].map((entry) => entries.send(entry, body)));
  t.is(entries.pool.arrivals.length, before);
});

// A request that runs at most once is sent once for each try of its caller, and what
// may have run is never called "not run".
test("a request that may not be repeated is held too, and told the truth", async (t) => {
  const repeatability = traffic.Repeatability.AtMostOnce;
  const entries = await scene.startEntries(t, { repeatability });
  const body = poolRunner.endingBody("once", 0);
  const seen = await scene.comeAgain(entries, body, () =>
    scene.isHeldEverywhere(entries),
  );
  const ran = seen.filter(
    ({ status }) => status === daemon.RefusalKind.MayHaveRun,
  );
  t.is(ran.length, scene.endsUnder(entries, body).length);
  t.is(entries.pool.arrivals.length, ran.length);
  const refused = await entries.send(0, body);
  t.is(refused.status, daemon.RefusalKind.NotRun);
  t.true((refused.refusal?.retryAfterMilliseconds ?? 0) > 10_000);
});

test("a held request is refused at once, by every entry, with the reason", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("held");
  await scene.provoke(entries, body);
  for (const entry of [0, 1, 2]) {
    const startedAt = common.now();
    const { status, refusal } = await entries.send(entry, body);
    t.is(status, daemon.RefusalKind.NotRun);
    t.regex(refusal?.reason ?? "", /quarantine/);
    t.true(common.now() - startedAt < 100);
  }
});

// Nobody may have requests of another account refused, nor be refused other ones.
test("requests that differ in account, path or last byte are others", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("whose");
  await scene.provoke(entries, body);
  const { pool } = entries;
  const others = [
    { body: `${body} `, change: {} },
    { body, change: { account: gateways.AccountName.Other } },
    { body, change: { path: "/a/other" } },
  ];
  for (const { body: other, change } of others) {
    const before = pool.arrivals.length;
    await entries.send(0, other, change);
    t.true(pool.arrivals.length > before);
  }
});

// An entry that starts later has seen none of the ends.
test("an entry that starts while a request is held refuses it", async (t) => {
  const entries = await scene.startEntries(t);
  const body = poolRunner.endingBody("late");
  await scene.provoke(entries, body);
  await entries.startOne("entry-new");
  await gateways.until(() => scene.isHeldEverywhere(entries));
  const newest = entries.running.length - 1;
  const { status } = await entries.send(newest, body);
  t.is(status, daemon.RefusalKind.NotRun);
});
