import * as common from "@geraniumkeel/common";
import * as plannedStop from "./planned_stop.ts";

/** Creates the planned stop of a process that is killed 8 s after its signal. */
export function createPlannedStop(): plannedStop.PlannedStop {
  const lifeCycle = new common.LifeCycle("test");
  return new plannedStop.PlannedStop({ graceMilliseconds: 8_000, lifeCycle });
}
