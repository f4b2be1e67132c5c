/** Time after which a stand-in that a request ended is back, in milliseconds. */
export const RETURN_MILLISECONDS = 1_000;

/** Mark in a prompt or body that ends each stand-in which runs it, after a time. */
export function endingMark(afterMilliseconds: number): string {
  return `[ends-runner=${afterMilliseconds}]`;
}

/** Milliseconds after which a marked text ends its stand-in. */
export function endsAfter(text: string): number | undefined {
  const found = /\[ends-runner=(\d+)\]/.exec(text);
  return found ? Number(found[1]) : undefined;
}
