import type * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as gateways from "./gateways.ts";
import * as runnerPool from "./runner_pool.ts";

/** Time between two ordinary requests, in milliseconds. */
const ORDINARY_MILLISECONDS = 20;
/** Pause between two of a caller's tries; it does not wait as it is told. */
const TRY_MILLISECONDS = 100;

const POOL: runnerPool.PoolShape = {
  service: "s",
  runners: 8,
  runMilliseconds: 150,
  returnMilliseconds: 900,
};

/** Starts entries before a pool of runners for one test. */
export async function startEntries(
  t: ava.ExecutionContext,
  change: Partial<gateways.GatewaysShape> = {},
  poolChange: Partial<runnerPool.PoolShape> = {},
): Promise<gateways.Gateways> {
  const pool = new runnerPool.RunnerPool({ ...POOL, ...poolChange });
  const entries = await gateways.Gateways.start(pool, change);
  t.teardown(() => entries.close());
  return entries;
}

/** Sends requests until the returned function is called; it gives their ends. */
export function load(
  t: ava.ExecutionContext,
  entries: gateways.Gateways,
  bodyOf = (number: number) => `ordinary ${number}`,
): () => Promise<gateways.Seen[]> {
  const sent: Promise<gateways.Seen>[] = [];
  const timer = setInterval(() => {
    sent.push(entries.send(sent.length, bodyOf(sent.length)));
  }, ORDINARY_MILLISECONDS);
  t.teardown(() => clearInterval(timer));
  return () => {
    clearInterval(timer);
    return Promise.all(sent);
  };
}

/** Ends of runners at which the body was under way. */
export function endsUnder(
  { pool }: gateways.Gateways,
  body: string,
): runnerPool.PoolEnd[] {
  return pool.ends.filter(({ bodies }) => bodies.includes(body));
}

/** Sends copies of a request at once, again and again, until a condition holds. */
export async function comeAgain(
  entries: gateways.Gateways,
  body: string,
  until: () => boolean,
  copies = 1,
): Promise<gateways.Seen[]> {
  const seen: gateways.Seen[] = [];
  while (!until()) {
    const sends = Array.from({ length: copies }, (_, copy) =>
      entries.send(seen.length + copy, body),
    );
    seen.push(...(await Promise.all(sends)));
    await common.sleep(TRY_MILLISECONDS);
  }
  return seen;
}

/** Sends a request until it is in quarantine at all entries. */
export async function provoke(
  entries: gateways.Gateways,
  body: string,
  copies = 1,
): Promise<void> {
  const until = () => isHeldEverywhere(entries);
  await comeAgain(entries, body, until, copies);
}

/** Whether each entry holds some request. */
export function isHeldEverywhere(entries: gateways.Gateways): boolean {
  return entries.running.every(
    ({ gateway }) => gateway.quarantine.cases().length > 0,
  );
}
