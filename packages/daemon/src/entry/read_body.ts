import type * as http from "node:http";
import * as neverthrow from "neverthrow";

/** Why a body could not be read. */
export type BodyFailure =
  { kind: "too-large"; limit: number } | { kind: "broken" };

/**
 * Reads a request body up to a limit. The limit is checked as bytes arrive: a
 * declared length can be absent or wrong, and memory is bounded either way.
 */
export async function readBody(
  request: http.IncomingMessage,
  limit: number,
): Promise<neverthrow.Result<Buffer, BodyFailure>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > limit) return tooLarge(limit);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).byteLength;
      if (size > limit) return tooLarge(limit);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return neverthrow.err({ kind: "broken" });
  }
  return neverthrow.ok(Buffer.concat(chunks));
}

function tooLarge(limit: number): neverthrow.Result<Buffer, BodyFailure> {
  return neverthrow.err({ kind: "too-large", limit });
}
