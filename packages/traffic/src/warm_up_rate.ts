/** Rate of a service whose configured value is no rate; its runners have no bound. */
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
