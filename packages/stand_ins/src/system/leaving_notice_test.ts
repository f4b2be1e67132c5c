import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as runnerPool from "../gateways/runner_pool.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

/** Time after which an entry that was told sends nothing more. */
const DRAIN_MILLISECONDS = 2_000;
const WATCHED_MILLISECONDS = 4_000;

/** Requests that reached a runner from an entry too long after its notice. */
function lateArrivals({
  arrivals,
  leaveNotices,
}: runnerPool.RunnerPool): number {
  return arrivals.filter(({ entry, runner, at }) =>
    leaveNotices.some(
      (notice) =>
        notice.entry === entry &&
        notice.runner === runner &&
        at > notice.at + DRAIN_MILLISECONDS,
    ),
  ).length;
}

// Guards against an entry that goes on sending to a runner whose answers say it leaves.
test("a runner that says in an answer that it leaves gets no new work, though listed as fit", async (t) => {
  const entries = await scene.startEntries(t);
  const stopLoad = scene.load(t, entries);
  const { pool } = entries;
  pool.runners[0].saysLeaving = true;
  await common.sleep(WATCHED_MILLISECONDS);
  t.true(pool.leaveNotices.length > 0);
  t.is(lateArrivals(pool), 0);
  const seen = await stopLoad();
  t.true(seen.every(({ status }) => status === "whole"));
});
