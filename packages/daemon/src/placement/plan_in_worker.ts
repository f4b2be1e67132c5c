import * as workerThreads from "node:worker_threads";
import type * as planPlacement from "./plan_placement.ts";

/**
 * Makes a plan in a worker thread: at 64 ranks, 256 experts and 60 layers it
 * takes longer than a token may, and would hold up every answer.
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
