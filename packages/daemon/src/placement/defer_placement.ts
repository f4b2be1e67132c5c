import type * as placementDecision from "./placement_decision.ts";
import type * as surgeClock from "../forecast/surge_clock.ts";

/** Time before a surge in which no switch begins: loading takes as long. */
const SURGE_GUARD_MILLISECONDS = 60_000;
/** How often the gain must repay the cost for a switch in a surge. */
const MIN_GAIN_TO_COST_RATIO_IN_SURGE = 4;

/**
 * Whether a change is put off because of a surge, now or about to come. Moving
 * experts takes bandwidth and holds requests up when they are waited for most;
 * a gain of several times the cost is worth it all the same.
 */
export function isDeferred(parameters: {
  decision: placementDecision.PlacementDecision;
  clock: surgeClock.SurgeClock;
  wallMilliseconds: number;
}): boolean {
  const { decision, clock, wallMilliseconds } = parameters;
  if (!clock.expectsSurge(wallMilliseconds, SURGE_GUARD_MILLISECONDS))
    return false;
  const { savedMilliseconds, netMilliseconds } = decision;
  const costMilliseconds = savedMilliseconds - netMilliseconds;
  return savedMilliseconds < MIN_GAIN_TO_COST_RATIO_IN_SURGE * costMilliseconds;
}
