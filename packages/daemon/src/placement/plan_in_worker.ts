import * as workerThreads from "node:worker_threads";
import type * as planPlacement from "./plan_placement.ts";

/**
 * Runs `planPlacement` in a worker thread. With 64 ranks, 256 experts and 60
 * layers, planning takes longer than one text token of an answer may take. On
 * the main thread it would delay every answer that this process forwards.
 */
export async function planInWorker(
  input: planPlacement.PlacementInput,
): Promise<planPlacement.PlacementPlan> {
  const script = new URL("./planning_worker.js", import.meta.url);
  const worker = new workerThreads.Worker(script);
  try {
    return await new Promise((resolve, reject) => {
      worker.once("message", resolve);
      worker.once("error", reject);
      worker.postMessage(input);
    });
  } finally {
    await worker.terminate();
  }
}
