/**
 * Marks the default branch of an exhaustive switch. Reaching it is a broken
 * invariant, the only kind of failure that may stop the process.
 */
export function unreachable(value: never): never {
  throw new Error(`unreachable variant: ${JSON.stringify(value)}`);
}
