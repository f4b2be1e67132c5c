import type * as wire from "@geraniumkeel/wire";

/**
 * Largest number of requests that a sighting names. More tell nothing further:
 * with so many requests the part is common, or the crash says little.
 */
const MAX_REQUESTS = 8;

/** What reports of one crash say about one prompt part. */
export type PartSighting = wire.PartSighting;

/**
 * Joins what two reports say. The result is the same in any order, and if one
 * of them comes twice.
 */
export function joinSightings(
  left: PartSighting,
  right: PartSighting,
): PartSighting {
  return {
    requests: union(left.requests, right.requests),
    begun: union(left.begun, right.begun),
    frequency: largerSample(left.frequency, right.frequency),
  };
}

function union(left: string[], right: string[]): string[] {
  return [...new Set([...left, ...right])].sort().slice(0, MAX_REQUESTS);
}

function largerSample(
  left: PartSighting["frequency"],
  right: PartSighting["frequency"],
): PartSighting["frequency"] {
  if (left.of !== right.of) return left.of > right.of ? left : right;
  return left.count > right.count ? left : right;
}
