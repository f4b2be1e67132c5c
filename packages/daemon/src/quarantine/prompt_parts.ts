/** Largest number of parts of a prompt that are taken from one request. */
const MAX_PROMPT_PARTS = 256;
/** Longest identifier of a part that is taken. */
const MAX_IDENTIFIER_LENGTH = 64;

/**
 * Returns the identifiers of prompt parts that a caller named, each once and
 * without those that cannot be used. A caller may send anything: what is left
 * out costs only the protection of that request.
 */
export function usableParts(identifiers: string[]): string[] {
  const usable = identifiers
    .map((identifier) => identifier.trim())
    .filter(({ length }) => length > 0 && length <= MAX_IDENTIFIER_LENGTH);
  return [...new Set(usable)].slice(0, MAX_PROMPT_PARTS);
}
