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

/** Seconds within which an accepted configuration is in force everywhere. */
export const IN_FORCE_LIMIT_MILLISECONDS = 5_000;

/**
 * An accepted configuration is in force soon: no process is seen to take up an
 * older one, or this one, after the limit. One that never does is found by
 * `checkInForceEverywhere`.
 */
export function checkInForceSoon(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.accepted.flatMap(({ revision, at }) => {
    const limit = at + IN_FORCE_LIMIT_MILLISECONDS;
    const onTime = new Set(
      history.inForce
        .filter((one) => one.revision >= revision && one.at <= limit)
        .map(({ process }) => process),
    );
    const startedLater = startsAfter(history, at);
    return history.inForce
      .filter((one) => one.at > limit && !onTime.has(one.process))
      .filter(({ process }) => !startedLater.has(process))
      .map((one) => ({
        promise: "accepted is in force within seconds",
        detail: `${one.process} took up ${one.revision} ${Math.round(one.at - at)} ms after ${revision} was accepted`,
      }));
  });
}

/** Processes that had nothing in force before a time. */
function startsAfter(
  history: historyModule.History,
  at: number,
): ReadonlySet<string> {
  const before = history.inForce.filter((one) => one.at <= at);
  const known = new Set(before.map(({ process }) => process));
  const all = history.inForce.map(({ process }) => process);
  return new Set(all.filter((process) => !known.has(process)));
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
