import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as gateways from "../gateways/gateways.ts";
import * as poolRunner from "../gateways/pool_runner.ts";
import * as runnerPool from "../gateways/runner_pool.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

const POPULAR = "popular";
/** Time for which each kind of trouble goes on, in milliseconds. */
const TROUBLE_MILLISECONDS = 3_000;

/** Every third request asks for the same. */
function popularBody(number: number): string {
  return number % 3 === 0 ? POPULAR : `ordinary ${number}`;
}

function heldCases(entries: gateways.Gateways): unknown[] {
  return entries.running.flatMap(({ gateway }) => gateway.quarantine.cases());
}

function refusedAsHeld(seen: gateways.Seen[]): gateways.Seen[] {
  return seen.filter(({ refusal }) => refusal?.reason.includes("quarantine"));
}

/** Plays a kind of trouble under load; nothing may be held for it, at any time. */
async function playTrouble(
  t: ava.ExecutionContext,
  entries: gateways.Gateways,
  pause: number,
  trouble: (step: number) => void,
): Promise<void> {
  const stopLoad = scene.load(t, entries, popularBody);
  const until = common.now() + TROUBLE_MILLISECONDS;
  for (let step = 0; common.now() < until; step++) {
    trouble(step);
    await common.sleep(pause);
  }
  t.deepEqual(heldCases(entries), []);
  const seen = await stopLoad();
  t.deepEqual(refusedAsHeld(seen), []);
  const whole = seen.filter(({ status }) => status === "whole").length;
  t.true(whole > seen.length / 3, `${whole} of ${seen.length} whole`);
}

// A request that many callers send is under way at each runner that ends.
test("nothing is held when runners end one after the other", async (t) => {
  const entries = await scene.startEntries(t);
  const random = new common.Random(1);
  await playTrouble(t, entries, 300, () => entries.pool.end(random.below(8)));
});

test("nothing is held when half of the runners end at once, again and again", async (t) => {
  const entries = await scene.startEntries(t);
  await playTrouble(t, entries, 1_500, () => {
    for (const place of [0, 2, 4, 6]) entries.pool.end(place);
  });
});

test("nothing is held when all runners end at once, again and again", async (t) => {
  const entries = await scene.startEntries(t);
  await playTrouble(t, entries, 1_800, () => {
    for (let place = 0; place < 8; place++) entries.pool.end(place);
  });
});

// A sound runner may break an answer off, or lose it; it has not ended.
test("answers that sound runners break off are held against nobody", async (t) => {
  const entries = await scene.startEntries(t);
  const { runners } = entries.pool;
  for (const runner of runners.slice(0, 3)) runner.breaksAnswers = true;
  await playTrouble(t, entries, 500, () => {});
});

// A link that is cut breaks runs off too; the runner at its far end goes on.
test("a cut between an entry and runners is held against nobody", async (t) => {
  const entries = await scene.startEntries(t);
  const cuts = [runnerPool.Cut.Silent, runnerPool.Cut.Refused];
  await playTrouble(t, entries, 200, (step) => {
    const place = step % 8;
    const host = `entry-${step % 3}`;
    entries.pool.cut(host, (place + 7) % 8, undefined);
    for (let entry = 0; entry < 3; entry++) {
      entries.pool.cut(`entry-${entry}`, (place + 4) % 8, undefined);
    }
    entries.pool.cut(host, place, cuts[step % 2]);
  });
});

// A runner that leaves with short notice cuts off what it still runs.
test("runners that leave are held against nobody", async (t) => {
  const entries = await scene.startEntries(t);
  const { pool } = entries;
  await playTrouble(t, entries, 250, (step) => {
    const place = step % 8;
    pool.runners[place].leaving = true;
    pool.announce();
    setTimeout(() => pool.end(place), 100);
  });
});

// Callers that leave, and the limits of their patience, end runs as well.
test("requests whose callers leave are held against nobody", async (t) => {
  const entries = await scene.startEntries(t);
  for (let round = 0; round < 4; round++) {
    const left = new AbortController();
    const sends = Array.from({ length: 6 }, (_, entry) =>
      entries.send(entry, POPULAR, { left: left.signal }),
    );
    await common.sleep(50);
    left.abort();
    for (let place = 0; place < 8; place++) entries.pool.end(place);
    await Promise.all(sends);
    await common.sleep(1_000);
  }
  t.deepEqual(heldCases(entries), []);
});

// An innocent request is held if by chance it was at three ends in turn; a whole answer
// of a copy that was under way elsewhere speaks for it.
test("a whole answer lifts a quarantine", async (t) => {
  const entries = await scene.startEntries(t, {}, { runMilliseconds: 600 });
  const { pool } = entries;
  const sent = [entries.send(0, POPULAR)];
  const survivor = pool.runners.findIndex((runner) => runner.has(POPULAR));
  for (let turn = 0; turn < 3; turn++) {
    sent.push(entries.send(1, POPULAR));
    const place = pool.runners.findIndex(
      (runner, at) => at !== survivor && runner.has(POPULAR),
    );
    pool.end(place);
    await common.sleep(30);
  }
  t.true(scene.isHeldEverywhere(entries));
  await Promise.all(sent);
  t.deepEqual(heldCases(entries), []);
  const seen = await entries.send(2, POPULAR);
  t.is(seen.status, "whole");
});

test("a request that ends its runners is found among many that do not", async (t) => {
  const entries = await scene.startEntries(t);
  const stopLoad = scene.load(t, entries, popularBody);
  const body = poolRunner.endingBody("one of many");
  await scene.provoke(entries, body);
  const [held, ...others] = entries.running[0].gateway.quarantine.cases();
  t.deepEqual(others, []);
  t.is(held.ends.length >= 3, true);
  t.deepEqual(refusedAsHeld(await stopLoad()), []);
});
