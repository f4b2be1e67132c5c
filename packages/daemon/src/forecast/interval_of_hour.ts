/** Length of an hour in milliseconds. */
export const HOUR_MILLISECONDS = 3_600_000;

/** Which of `parts` equal parts of its hour a wall-clock time is in, from 0. */
export function intervalOfHour(
  wallMilliseconds: number,
  intervalsPerHour: number,
): number {
  const millisecondsIntoHour = wallMilliseconds % HOUR_MILLISECONDS;
  return Math.floor(
    (millisecondsIntoHour * intervalsPerHour) / HOUR_MILLISECONDS,
  );
}
