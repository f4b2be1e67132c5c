/** Largest number of parts of a prompt that are taken from one request. */
const MAX_PROMPT_PARTS = 256;
/** Identifiers that can stand in a key, a log line and a command. */
const USABLE_IDENTIFIER = /^[\w.-]{1,64}$/;

/**
 * Returns the identifiers of prompt parts that a caller named, each once and
 * without those that cannot be used. A caller may send anything: what is left
 * out costs only the protection of that request.
 */
export function usableParts(identifiers: string[]): string[] {
  const usable = identifiers
    .map((identifier) => identifier.trim())
    .filter((identifier) => USABLE_IDENTIFIER.test(identifier));
  return [...new Set(usable)].slice(0, MAX_PROMPT_PARTS);
}
