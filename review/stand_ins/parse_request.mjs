/** A request that was read whole; `undefined` while more of it is to come. */
export function parseRequest(received) {
  const end = received.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [line, ...lines] = received.subarray(0, end).toString().split("\r\n");
  const headers = new Map(
    lines.map((one) => {
      const [name, ...value] = one.split(":");
      return [name.toLowerCase(), value.join(":").trim()];
    }),
  );
  const bytes = end + 4 + Number(headers.get("content-length") ?? 0);
  if (received.length < bytes) return undefined;
  const [method, target] = line.split(" ");
  const body = received.subarray(end + 4, bytes).toString();
  return { method, target, headers, body, bytes };
}
