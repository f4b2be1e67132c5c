import type * as runnerPool from "./runner_pool.ts";

/** Time for which requests that are under way may still arrive. */
const UNDER_WAY_MILLISECONDS = 500;
/** Requests that may reach a runner in a rest that it asked an entry for. */
export const MOST_IN_REST = 2;

/** Most requests that a runner got from an entry in a rest it had asked it for. */
export function mostInRest({
  arrivals,
  turnAways,
}: runnerPool.RunnerPool): number {
  const counts = turnAways.map(({ entry, runner, at, until }) => {
    const from = at + UNDER_WAY_MILLISECONDS;
    return arrivals.filter(
      (arrival) =>
        arrival.entry === entry &&
        arrival.runner === runner &&
        arrival.at > from &&
        arrival.at <= until,
    ).length;
  });
  return Math.max(0, ...counts);
}
