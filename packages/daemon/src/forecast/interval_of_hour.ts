export const HOUR_MILLISECONDS = 3_600_000;

/**
 * Divides the hour into equal intervals and returns the number, from 0, of the
 * interval that contains a wall-clock time.
 */
export function intervalOfHour(
  wallMilliseconds: number,
  intervalsPerHour: number,
): number {
  const millisecondsIntoHour = wallMilliseconds % HOUR_MILLISECONDS;
  return Math.floor(
    (millisecondsIntoHour * intervalsPerHour) / HOUR_MILLISECONDS,
  );
}
