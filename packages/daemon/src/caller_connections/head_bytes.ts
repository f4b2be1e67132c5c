import type * as http from "node:http";

/** A request and its answer as objects, without headers. */
const REQUEST_BYTES = 4 * 1024;
/** What each name and each value of a header takes beside its characters. */
const TEXT_BYTES = 64;

/** About how much memory the head of a request takes once it is read. */
export function headBytes({ rawHeaders, url }: http.IncomingMessage): number {
  const texts = rawHeaders.reduce(
    (sum, text) => sum + text.length + TEXT_BYTES,
    0,
  );
  return REQUEST_BYTES + texts + (url ?? "").length;
}
