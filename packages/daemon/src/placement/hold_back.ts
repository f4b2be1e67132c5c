import type * as placementDecision from "./placement_decision.ts";
import type * as surgeForecast from "../forecast/surge_forecast.ts";

/** Time before a surge in which no switch begins: loading takes as long. */
const GUARD_MILLISECONDS = 60_000;
/** How often the gain must repay the cost for a switch in a surge. */
const SURGE_REPAYMENT = 4;

/**
 * Whether a change is put off because of a surge, now or about to come. Moving
 * experts takes bandwidth and holds requests up when they are waited for most;
 * a gain of several times the cost is worth it all the same.
 */
export function isHeldBack(parameters: {
  decision: placementDecision.PlacementDecision;
  clock: surgeForecast.SurgeForecast;
  wallMilliseconds: number;
}): boolean {
  const { decision, clock, wallMilliseconds } = parameters;
  if (!clock.expectsSurge(wallMilliseconds, GUARD_MILLISECONDS)) return false;
  const { savedMilliseconds, netMilliseconds } = decision;
  const costMilliseconds = savedMilliseconds - netMilliseconds;
  return savedMilliseconds < SURGE_REPAYMENT * costMilliseconds;
}
