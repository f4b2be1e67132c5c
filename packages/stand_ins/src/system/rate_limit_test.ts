import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as gateways from "../gateways/gateways.ts";
import * as rateLimitCount from "../gateways/rate_limit_count.ts";
import * as scene from "../gateways/scene.ts";

const test = ava.default;

/** Time for which a limited runner is watched: a window after it is in force. */
const WATCHED_MILLISECONDS =
  rateLimitCount.IN_FORCE_MILLISECONDS + rateLimitCount.WINDOW_MILLISECONDS;

/** Has a runner name a limit; gives the most that it got in any window. */
async function mostAtLimit(
  { pool }: gateways.Gateways,
  place: number,
  rateLimit: string,
): Promise<number> {
  const runner = pool.runners[place];
  runner.rateLimit = rateLimit;
  await common.sleep(WATCHED_MILLISECONDS);
  return rateLimitCount.mostInWindow(pool, runner.identifier);
}

// Guards against a runner that names a limit and gets more from all entries together.
test("a runner gets no more requests than it says it takes, from all entries together", async (t) => {
  const entries = await scene.startEntries(t, { entries: 6 });
  scene.load(t, entries);
  const most = await mostAtLimit(entries, 0, "1");
  t.true(most <= rateLimitCount.mostAllowed(1), `${most} in four seconds`);
});
