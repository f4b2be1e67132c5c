import type * as callerRequest from "./caller_request.ts";

/** Headers of HTTP that concern one connection only, in lower case. */
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

/**
 * Returns the headers of a message that go on to the next hop. `raw` alternates
 * names and values, as Node.js gives them.
 */
export function endToEndHeaders(raw: string[]): callerRequest.Header[] {
  const headers: callerRequest.Header[] = [];
  const named = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index];
    const value = raw[index + 1];
    if (name.toLowerCase() === "connection") {
      // Further headers of this connection only, as the sender names them.
      for (const token of value.split(","))
        named.add(token.trim().toLowerCase());
    }
    headers.push([name, value]);
  }
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP.has(lower) && !named.has(lower);
  });
}
