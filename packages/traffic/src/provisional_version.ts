/** Lowest version of a document that is not provisional. */
const LOWEST_FINAL_VERSION = 1;
/** A power of two, so that scaled versions are exact and stay in order. */
const SCALE = 2 ** 53;

/**
 * Version of a document whose reader cannot tell whether something is missing in it.
 * It is below all versions that are not provisional, so that such a document is in
 * force only where there is no other; provisional versions keep their order.
 */
export function provisionalVersion(version: number): number {
  return version / SCALE;
}

/** Whether a version is provisional. */
export function isProvisional(version: number): boolean {
  return version < LOWEST_FINAL_VERSION;
}
