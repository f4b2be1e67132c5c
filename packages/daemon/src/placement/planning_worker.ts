import * as workerThreads from "node:worker_threads";
import * as planPlacement from "./plan_placement.ts";

// Script of the worker thread that `plan_in_worker.ts` starts: it answers each
// input with a plan.
workerThreads.parentPort?.on(
  "message",
  (input: planPlacement.PlacementInput) => {
    const plan = planPlacement.planPlacement(input);
    workerThreads.parentPort?.postMessage(plan);
  },
);
