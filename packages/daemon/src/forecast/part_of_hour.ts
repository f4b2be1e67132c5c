/** Length of an hour in milliseconds. */
export const HOUR_MILLISECONDS = 3_600_000;

/** Which of `parts` equal parts of its hour a wall-clock time is in, from 0. */
export function partOfHour(wallMilliseconds: number, parts: number): number {
  const inHour = wallMilliseconds % HOUR_MILLISECONDS;
  return Math.floor((inHour * parts) / HOUR_MILLISECONDS);
}
