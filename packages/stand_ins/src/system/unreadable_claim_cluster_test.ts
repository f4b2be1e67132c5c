import * as ava from "ava";
import * as backingServices from "@geraniumkeel/backing_services";
import type * as cluster from "../testing/cluster.ts";
import * as withCluster from "../testing/with_cluster.ts";

const test = ava.default;

/** Replaces the values of all rows of claims. */
function spoilClaims(system: cluster.Cluster, value: string): number {
  const { table } = system.platform;
  const rows = table.range("claims/", "claims0", 100);
  table.transact({
    conditions: [],
    writes: rows.map(({ key }) => backingServices.putRow(key, value)),
  });
  return rows.length;
}

// Guards against a second run of a request that may not be repeated: its caller got no
// answer and asks again, and the claim that names the first run can't be read.
test(
  "a request whose claim can't be read is answered and runs once",
  withCluster.withCluster({}, async (t, system) => {
    let runs = 0;
    system.plain.onCall = () => runs++;
    system.plain.faults.breakAnswers = 1;
    const asking = { path: "/confirm", call: "work", key: "stamp-1" };
    await system.call({ ...asking, entry: 0 }).catch(() => undefined);
    t.is(spoilClaims(system, "{"), 1);
    for (const entry of [0, 1]) {
      const { status, body } = await system.call({ ...asking, entry });
      t.is(status, 504);
      const { outcome } = JSON.parse(body) as { outcome: string };
      t.is(outcome, "may-have-run");
    }
    t.is(runs, 1);
    // The entries go on with other requests.
    const other = { path: "/confirm", call: "other", key: "stamp-2" };
    t.is((await system.call({ ...other, entry: 0 })).status, 200);
    t.is(runs, 2);
  }),
);
