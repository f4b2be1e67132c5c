import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import * as gatewaysModule from "../gateways/gateways.ts";
import * as poolRunner from "../gateways/pool_runner.ts";
import * as runnerPool from "../gateways/runner_pool.ts";

const test = ava.default;

/** Ends after which a request may be sent to runners a few times more. */
const ENDS_ALLOWED = 3;
/** Time after the last of these within which all entries know, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const SENDS_ALLOWED = 3;
/** Time for which the request goes on coming after that. */
const WATCHED_MILLISECONDS = 3_000;
/** Pause between two of the caller's tries; it does not wait as it is told. */
const TRY_MILLISECONDS = 100;

/** Time between two ordinary requests. */
const ORDINARY_MILLISECONDS = 20;

const POOL: runnerPool.PoolShape = {
  service: "s",
  runners: 8,
  runMilliseconds: 150,
  returnMilliseconds: 900,
};

async function startEntries(
  t: ava.ExecutionContext,
  change: Partial<gatewaysModule.GatewaysShape> = {},
): Promise<gatewaysModule.Gateways> {
  const pool = new runnerPool.RunnerPool(POOL);
  const entries = await gatewaysModule.Gateways.start(pool, change);
  t.teardown(() => entries.close());
  return entries;
}

/** Sends other requests until the returned function is called; it gives their ends. */
function ordinaryLoad(
  t: ava.ExecutionContext,
  entries: gatewaysModule.Gateways,
): () => Promise<gatewaysModule.Seen[]> {
  const sent: Promise<gatewaysModule.Seen>[] = [];
  const timer = setInterval(() => {
    const number = sent.length;
    sent.push(entries.send(number, `ordinary ${number}`));
  }, ORDINARY_MILLISECONDS);
  t.teardown(() => clearInterval(timer));
  return () => {
    clearInterval(timer);
    return Promise.all(sent);
  };
}

/** Ends of runners at which the body was under way. */
function endsUnder(
  pool: runnerPool.RunnerPool,
  body: string,
): runnerPool.PoolEnd[] {
  return pool.ends.filter(({ bodies }) => bodies.includes(body));
}

// A request after which each runner ends that begins to run it comes again at every
// entry, and takes a runner along each time, as nothing is held against the request.
test.failing(
  "a request under which three runners ended is soon sent to no more",
  async (t) => {
    const entries = await startEntries(t);
    const { pool } = entries;
    const stopLoad = ordinaryLoad(t, entries);
    const body = poolRunner.endingBody("one");
    let number = 0;
    const comeAgainUntil = async (over: () => boolean) => {
      while (!over()) {
        await entries.send(number++, body);
        await common.sleep(TRY_MILLISECONDS);
      }
    };
    await comeAgainUntil(() => endsUnder(pool, body).length >= ENDS_ALLOWED);
    const knownAt =
      endsUnder(pool, body)[ENDS_ALLOWED - 1].at + KNOWN_MILLISECONDS;
    const until = knownAt + WATCHED_MILLISECONDS;
    await comeAgainUntil(() => common.now() > until);
    const late = pool.arrivals.filter(
      (arrival) => arrival.body === body && arrival.at > knownAt,
    );
    t.true(late.length <= SENDS_ALLOWED, `${late.length} sends`);
    await stopLoad();
  },
);
