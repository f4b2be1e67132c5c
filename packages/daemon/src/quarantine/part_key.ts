const PREFIX = "part:";

/**
 * Key of a prompt part in the quarantine. The service is in it: runners of
 * another service may stand the part.
 */
export function partKey(service: string, part: string): string {
  return `${PREFIX}${service}:${part}`;
}

/** Whether a key is that of a part; a request's is its fingerprint. */
export function isPartKey(key: string): boolean {
  return key.startsWith(PREFIX);
}

/** Identifier of the part with a key; `undefined` for a request's key. */
export function partOf(key: string): string | undefined {
  return isPartKey(key) ? key.slice(key.lastIndexOf(":") + 1) : undefined;
}
