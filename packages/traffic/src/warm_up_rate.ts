/**
 * Stands for a configured warm-up rate that is not a finite number of 0 or more.
 * Runners of the service then have no warm-up limit.
 */
export const UNREADABLE_RATE = -1;

/**
 * Reads the rate at which a service's runners take requests while they warm up; 0
 * if none is named. A bad value must not keep the rest of a document from use.
 */
export function readWarmUpRate(value: unknown): number {
  if (value === undefined || value === null) return 0;
  if (typeof value !== "number" || !Number.isFinite(value) || value < 0)
    return UNREADABLE_RATE;
  return value;
}
