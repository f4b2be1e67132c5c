import type * as historyModule from "./history.ts";

/** Longest window over which requests are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 4_000;
/** Time for which requests that are under way may still arrive. */
const UNDER_WAY_MILLISECONDS = 150;
const MOST_IN_REST = 2;

/** No engine gets more requests than it says it takes. */
export function checkRateLimits({
  arrivals,
}: historyModule.History): historyModule.Violation[] {
  return spansOf(arrivals).flatMap(({ host, perSecond, from, until }) => {
    const counted = arrivals.filter(
      ({ host: other, at }) => other === host && at > from && at <= until,
    );
    const seconds = Math.min(until - from, WINDOW_MILLISECONDS) / 1_000;
    const allowed = 1.5 * perSecond * seconds + 5;
    const most = Math.max(
      0,
      ...counted.map(
        ({ at: end }) =>
          counted.filter(
            ({ at }) => at > end - WINDOW_MILLISECONDS && at <= end,
          ).length,
      ),
    );
    if (most <= allowed) return [];
    return {
      promise: "no engine gets more requests than it says it takes",
      detail: `${host}: ${most} in ${seconds} s at ${perSecond} a second`,
    };
  });
}

/** An engine that turns requests away gets none for as long as it asks. */
export function checkRests({
  arrivals,
}: historyModule.History): historyModule.Violation[] {
  return arrivals.flatMap(({ host, at, restMilliseconds }) => {
    if (restMilliseconds === undefined) return [];
    const inRest = arrivals.filter(
      (other) =>
        other.host === host &&
        other.at > at + UNDER_WAY_MILLISECONDS &&
        other.at <= at + restMilliseconds,
    );
    if (inRest.length <= MOST_IN_REST) return [];
    return {
      promise: "an engine that asks for rest gets nothing for so long",
      detail: `${host}: ${inRest.length} in ${restMilliseconds} ms`,
    };
  });
}

/** Times in which an engine named one limit in all its answers. */
interface LimitSpan {
  host: string;
  perSecond: number;
  from: number;
  until: number;
}

function spansOf(arrivals: historyModule.ArrivalRecord[]): LimitSpan[] {
  const spans: LimitSpan[] = [];
  const open = new Map<string, LimitSpan>();
  for (const { host, at, perSecond } of arrivals) {
    const known = open.get(host);
    if (known && known.perSecond === perSecond) {
      known.until = at;
      continue;
    }
    open.delete(host);
    if (perSecond === undefined) continue;
    const from = at + UNDER_WAY_MILLISECONDS;
    const span = { host, perSecond, from, until: from };
    open.set(host, span);
    spans.push(span);
  }
  return spans;
}
