/** Longest text of a cause; a stack of some twenty calls fits. */
const MAX_CAUSE_CHARACTERS = 4_000;
/** Causes of a cause that are described. */
const MAX_CAUSES = 4;

/** Stack of an exception and of its causes, for one field of a log line. */
export function describeCause(cause: unknown): string {
  const stacks: string[] = [];
  let current = cause;
  while (current !== undefined && stacks.length < MAX_CAUSES) {
    stacks.push(stackOf(current));
    current = current instanceof Error ? current.cause : undefined;
  }
  return stacks.join("\ncaused by: ").slice(0, MAX_CAUSE_CHARACTERS);
}

function stackOf(cause: unknown): string {
  if (cause instanceof Error) return cause.stack ?? cause.message;
  return typeof cause === "string" ? cause : `a thrown ${typeof cause}`;
}
