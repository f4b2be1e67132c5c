import type * as historyModule from "./history.ts";

/** Each caller gets the whole answer to its own request, never another's. */
export function checkWholeAnswers(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.calls
    .filter(({ outcome }) => outcome === "wrong")
    .map(({ work, detail }) => ({
      promise: "whole own answer",
      detail: `${work}: ${detail}`,
    }));
}

/** "Not run" is true: what was told so was never started. */
export function checkNotRun(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.calls
    .filter(({ outcome }) => outcome === "not-run")
    .filter(({ work }) => (history.starts.get(work) ?? 0) > 0)
    .map(({ work }) => ({
      promise: "not run is true",
      detail: `${work} was told "not run" and ran`,
    }));
}

/** A request that may not be repeated runs at most once. */
export function checkAtMostOnce(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.calls
    .filter(({ repeatable }) => !repeatable)
    .map(({ work }) => ({ work, count: history.starts.get(work) ?? 0 }))
    .filter(({ count }) => count > 1)
    .map(({ work, count }) => ({
      promise: "at most once",
      detail: `${work} ran ${count} times`,
    }));
}

/** Planned stops and the maintenance preset cut off no request. */
export function checkPlannedStops(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.calls
    .filter(({ duringPlannedStopOnly }) => duringPlannedStopOnly)
    .filter(({ outcome }) => outcome !== "whole" && outcome !== "not-run")
    .map(({ work, outcome, detail }) => ({
      promise: "planned stops cut off nothing",
      detail: `${work}: ${outcome} (${detail})`,
    }));
}
