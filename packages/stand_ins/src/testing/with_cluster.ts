import type * as ava from "ava";
import * as cluster from "./cluster.ts";

/** A test that runs against a cluster of its own. */
export function withCluster(
  change: Partial<cluster.ClusterOptions>,
  body: (t: ava.ExecutionContext, system: cluster.Cluster) => Promise<void>,
): (t: ava.ExecutionContext) => Promise<void> {
  return async (t) => {
    const system = await cluster.Cluster.start(change);
    try {
      await body(t, system);
    } finally {
      await system.close();
    }
  };
}
