import * as common from "@geraniumkeel/common";
import * as runnerCrash from "./runner_crash.ts";

/** Creates a run that was waiting for its answer, but for what `change` says. */
export function interruptedRun(
  change: Partial<runnerCrash.InterruptedRun> = {},
): runnerCrash.InterruptedRun {
  return {
    request: "q",
    fingerprint: "f",
    startedAt: common.now(),
    progress: runnerCrash.RunProgress.Waiting,
    promptParts: [],
    ...change,
  };
}
