import type * as historyModule from "./history.ts";

/** An accepted configuration never reverts in any process. */
export function checkNoRevert(
  history: historyModule.History,
): historyModule.Violation[] {
  const highest = new Map<string, number>();
  const violations: historyModule.Violation[] = [];
  for (const { process, revision } of history.inForce) {
    const before = highest.get(process) ?? 0;
    if (revision <= before) {
      violations.push({
        promise: "a configuration never reverts",
        detail: `${process} went from revision ${before} to ${revision}`,
      });
    }
    highest.set(process, Math.max(before, revision));
  }
  return violations;
}

/** An accepted configuration ends up in force everywhere. */
export function checkInForceEverywhere(
  history: historyModule.History,
): historyModule.Violation[] {
  const newest = Math.max(0, ...history.accepted.map((one) => one.revision));
  return history.final
    .filter(({ revision }) => revision < newest)
    .map(({ process, revision }) => ({
      promise: "accepted is in force everywhere",
      detail: `${process} has revision ${revision}, accepted is ${newest}`,
    }));
}
