import type * as historyModule from "./history.ts";

/** Seconds after which a leaving upstream gets nothing new. */
export const LEAVING_LIMIT_MILLISECONDS = 3_000;

/** A leaving upstream gets no new work after a few seconds. */
export function checkLeaving(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.leavings.flatMap(({ host, at }) =>
    history.workStarts
      .filter((start) => start.host === host)
      .filter((start) => start.at - at > LEAVING_LIMIT_MILLISECONDS)
      .map((start) => ({
        promise: "a leaving upstream gets no new work",
        detail: `${host} got work ${Math.round(start.at - at)} ms after`,
      })),
  );
}
