/**
 * Entries outside evacuated data centres among `entries`; all of these if none
 * is outside, as an entry in an evacuated data centre still serves callers.
 */
export function entriesOutside<T>(
  entries: T[],
  isEvacuated: (entry: T) => boolean,
): T[] {
  const outside = entries.filter((entry) => !isEvacuated(entry));
  return outside.length > 0 ? outside : entries;
}
