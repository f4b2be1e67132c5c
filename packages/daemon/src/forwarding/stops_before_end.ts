import * as traffic from "@geraniumkeel/traffic";
import type * as plannedStop from "../shutdown/planned_stop.ts";
import type * as answerDurations from "./answer_durations.ts";
import type * as requestClock from "./request_clock.ts";

/**
 * Whether this process stops before a request can be finished, so that the request
 * is better refused while it has not run.
 */
export function stopsBeforeEnd(parameters: {
  stop: plannedStop.PlannedStop;
  durations: answerDurations.AnswerDurations;
  route: traffic.Route;
  clock: requestClock.RequestClock;
}): boolean {
  const { stop, durations, route, clock } = parameters;
  return !stop.admits({
    longestMilliseconds: clock.millisecondsLeft,
    expectedMilliseconds: durations.expected(route.name),
    repeatable: route.repeatability === traffic.Repeatability.Idempotent,
  });
}
