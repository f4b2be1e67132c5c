import type * as cluster from "./cluster.ts";

const STREAMS = 2;

/** Requests one after the other, so that a group keeps stepping. */
export function keepBusy(system: cluster.Cluster): {
  stop: () => Promise<void>;
} {
  let stopped = false;
  const stream = async () => {
    while (!stopped) {
      const prompt = "busy [tokens=40]";
      // Faults break some of them off, which is not what is looked at.
      await system.generate({ prompt }).catch(() => undefined);
    }
  };
  const streams = Array.from({ length: STREAMS }, stream);
  return {
    stop: async () => {
      stopped = true;
      await Promise.all(streams);
    },
  };
}
