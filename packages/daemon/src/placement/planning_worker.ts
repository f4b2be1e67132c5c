import * as workerThreads from "node:worker_threads";
import * as planPlacement from "./plan_placement.ts";

workerThreads.parentPort?.on(
  "message",
  (input: planPlacement.PlacementInput) => {
    const plan = planPlacement.planPlacement(input);
    workerThreads.parentPort?.postMessage(plan);
  },
);
