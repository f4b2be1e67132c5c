/** Headers of HTTP that concern one connection only (RFC 9110, 7.6.1), in lower case. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Pairs the names and values of headers, which Node.js gives in turn. */
export function headerPairs(raw: string[]): [name: string, value: string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < raw.length; index += 2)
    pairs.push([raw[index], raw[index + 1]]);
  return pairs;
}

/** Returns the headers of a message that go on to the next hop. */
export function endToEndHeaders(
  headers: Iterable<[name: string, value: string]>,
): [name: string, value: string][] {
  const pairs = [...headers];
  // Further headers of this connection only, as the sender names them.
  const named = pairs
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value.toLowerCase().split(","))
    .map((token) => token.trim());
  const dropped = new Set([...HOP_BY_HOP, ...named]);
  return pairs.filter(([name]) => !dropped.has(name.toLowerCase()));
}
