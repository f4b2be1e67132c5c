import * as ava from "ava";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

/** Longer than the calls take; the stop is not waited for. */
const DRAIN_TIMEOUT_MILLISECONDS = 30_000;
const DRAIN_NOTICE_MILLISECONDS = 20_000;
const TIMEOUT_HEADER = "request-timeout-milliseconds";
const NOT_RUN = '"outcome":"not-run"';

/** A call that gives the whole system so much time. */
function callOf(call: string, timeoutMilliseconds: number) {
  const headers = { [TIMEOUT_HEADER]: String(timeoutMilliseconds) };
  return { path: "/confirm", call, headers, entry: 1 };
}

// Guards against a confirmation that came late in a planned stop, was passed on, and was
// cut off at its end, so that nobody knows whether it ran.
test(
  "a stopping entry refuses at once what it may not have the time to finish",
  withCluster.withCluster(
    {
      entries: 2,
      timing: {
        drainNotice: DRAIN_NOTICE_MILLISECONDS,
        drainTimeout: DRAIN_TIMEOUT_MILLISECONDS,
      },
    },
    async (t, system) => {
      const [, stopping] = system.entries;
      const before = await system.call(callOf("before", 60_000));
      t.is(before.status, 200);
      void stopping.running.drain();
      const long = await system.call(callOf("long", 60_000));
      t.is(long.status, 503);
      t.true(long.body.includes(NOT_RUN), long.body);
      t.is(system.plain.calls.get("long"), undefined);
      const short = await system.call(callOf("short", 1_000));
      t.is(short.status, 200);
    },
  ),
);
