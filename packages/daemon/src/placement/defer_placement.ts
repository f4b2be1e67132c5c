import type * as placementDecision from "./placement_decision.ts";
import type * as surgeForecast from "../forecast/surge_forecast.ts";

/**
 * Time before an expected surge in which a new placement is deferred. Moving
 * the experts to their ranks takes about this long.
 */
const GUARD_MILLISECONDS = 60_000;
/** Ratio of gain to cost from which a placement is changed despite a surge. */
const MIN_GAIN_TO_COST_RATIO_IN_SURGE = 4;

/**
 * Whether a new placement is deferred because of a surge, current or expected
 * soon. Moving experts takes bandwidth and delays requests at the time of the
 * highest demand. A gain of several times the cost justifies the change
 * nevertheless.
 */
export function isDeferred(parameters: {
  decision: placementDecision.PlacementDecision;
  forecast: surgeForecast.SurgeForecast;
  wallMilliseconds: number;
}): boolean {
  const { decision, forecast, wallMilliseconds } = parameters;
  if (!forecast.expectsSurge(wallMilliseconds, GUARD_MILLISECONDS))
    return false;
  const { savedMilliseconds, netMilliseconds } = decision;
  const costMilliseconds = savedMilliseconds - netMilliseconds;
  return savedMilliseconds < MIN_GAIN_TO_COST_RATIO_IN_SURGE * costMilliseconds;
}
