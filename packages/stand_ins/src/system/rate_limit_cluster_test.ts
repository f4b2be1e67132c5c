import * as ava from "ava";
import * as common from "@geraniumkeel/common";
import type * as cluster from "../testing/cluster.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

const SHAPE = { entries: 3, ranks: 1, plainRunners: 1 };
const PER_SECOND = 4;
const WINDOW_MILLISECONDS = 4_000;
const SETTLED_MILLISECONDS = 4_500;
const WATCHED_MILLISECONDS = 10_000;
/** Callers that each send one call after the other. */
const CALLERS = 12;

/** Has callers call until the returned function is called; gives statuses. */
function load(system: cluster.Cluster): () => Promise<number[]> {
  const statuses: number[] = [];
  let stopped = false;
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let number = 0; !stopped; number++) {
      const call = `${caller} ${number}`;
      const entry = caller % SHAPE.entries;
      const answer = await system.call({ path: "/confirm", call, entry });
      statuses.push(answer.status);
    }
  });
  return async () => {
    stopped = true;
    await Promise.all(callers);
    return statuses;
  };
}

// Guards against a service that names a limit and gets more from all entries together.
test(
  "a service behind the product's own interface gets no more than it takes",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const arrivals: number[] = [];
    system.plain.onCall = () => arrivals.push(common.now());
    system.plain.faults.rateLimit = String(PER_SECOND);
    const stop = load(system);
    await common.sleep(SETTLED_MILLISECONDS);
    const from = common.now();
    await common.sleep(WATCHED_MILLISECONDS);
    const counted = arrivals.filter((at) => at >= from);
    const sizes = counted.map(
      (end) =>
        arrivals.filter((at) => at > end - WINDOW_MILLISECONDS && at <= end)
          .length,
    );
    const most = Math.max(...sizes);
    t.true(most <= 1.5 * 4 * PER_SECOND + 5, `${most} in four seconds`);
    const wanted = (0.9 * PER_SECOND * WATCHED_MILLISECONDS) / 1_000;
    t.true(counted.length >= wanted, `${counted.length} in ten seconds`);
    const listed = await system.operate("GET", "/admin/v1/rate-limits");
    t.like(listed.body, { 0: { perSecond: PER_SECOND } });
    system.plain.faults.rateLimit = "";
    const statuses = await stop();
    t.true(statuses.every((status) => status === 200 || status === 503));
  }),
);

// Guards against a service that asks for rest and is called by all entries all the same.
test(
  "a service behind the product's own interface gets nothing while it wants rest",
  withCluster.withCluster(SHAPE, async (t, system) => {
    const { plain } = system;
    plain.faults.restWanted = "2";
    const stop = load(system);
    await system.until(() => plain.turnedAway.length > 0);
    const [firstAt] = plain.turnedAway;
    await common.sleep(1_900);
    const inRest = plain.turnedAway.filter(
      (at) => at > firstAt + 500 && at < firstAt + 2_000,
    );
    t.true(inRest.length <= 2, `${inRest.length} in a rest`);
    plain.faults.restWanted = "";
    await system.until(() => plain.calls.size > 0);
    const statuses = await stop();
    t.true(statuses.includes(200));
  }),
);
