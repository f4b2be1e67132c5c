import type * as historyModule from "./history.ts";

/** Ends after which a request may be started a few times more. */
const ENDS_ALLOWED = 3;
/** Time after the last of these within which all entries know, in milliseconds. */
const KNOWN_MILLISECONDS = 3_000;
const STARTS_ALLOWED = 3;
/** What a caller is told whose request is in quarantine. */
const HELD_REASON = "quarantined";

/** A request that ends engines is soon sent to no more. */
export function checkEndings(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.endings.flatMap(({ work, starts, ends }) => {
    const proving = [...ends].sort((left, right) => left - right);
    const knownAt = proving[ENDS_ALLOWED - 1] + KNOWN_MILLISECONDS;
    const late = starts.filter((at) => at > knownAt).length;
    if (late <= STARTS_ALLOWED || Number.isNaN(knownAt)) return [];
    return {
      promise: "a request that ends engines is soon sent to no more",
      detail: `${work}: ${late} starts later than ${KNOWN_MILLISECONDS} ms after the third end, ${ends.length} ends`,
    };
  });
}

/** No request is held that ends no engine. */
export function checkInnocents(
  history: historyModule.History,
): historyModule.Violation[] {
  return history.calls
    .filter(({ detail }) => detail.includes(HELD_REASON))
    .map(({ work }) => ({
      promise: "no request is held that ends no engine",
      detail: `${work} was refused as held`,
    }));
}
