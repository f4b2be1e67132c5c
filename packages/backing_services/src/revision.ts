/**
 * A write's place in the history of a table. A table that came back from a copy gives
 * its numbers out again, so numbers are compared within one epoch only.
 */
export interface Revision {
  epoch: number;
  number: number;
}

/** Whether two revisions are of the same write. */
export function isSameRevision(
  left: Revision | undefined,
  right: Revision | undefined,
): boolean {
  return left?.epoch === right?.epoch && left?.number === right?.number;
}
