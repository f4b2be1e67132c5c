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

/** A body read so far, and what follows of it. */
export interface BodyBeginning {
  beginning: Buffer;
  /** The rest as it arrives; `undefined` when this is the whole body. */
  rest: AsyncIterator<Uint8Array> | undefined;
}

/**
 * Reads the beginning of a body. What is larger than `buffered` is passed on as
 * it arrives, so that a large body does not stand whole in memory; the limit
 * holds for all of it, and a body beyond it breaks off.
 */
export async function readBeginning(
  request: http.IncomingMessage,
  buffered: number,
  limit: number,
): Promise<neverthrow.Result<BodyBeginning, BodyFailure>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > limit) return tooLarge(limit);
  const chunks: Buffer[] = [];
  let size = 0;
  const source = request[Symbol.asyncIterator]();
  try {
    while (size <= buffered) {
      const read = (await source.next()) as IteratorResult<Buffer, void>;
      if (read.done) {
        const beginning = Buffer.concat(chunks);
        return neverthrow.ok({ beginning, rest: undefined });
      }
      size += read.value.byteLength;
      if (size > limit) return tooLarge(limit);
      chunks.push(read.value);
    }
  } catch {
    return neverthrow.err({ kind: "broken" });
  }
  const rest = limited(source, limit - size);
  return neverthrow.ok({ beginning: Buffer.concat(chunks), rest });
}

async function* limited(
  source: AsyncIterator<unknown>,
  limit: number,
): AsyncGenerator<Uint8Array, void, void> {
  let left = limit;
  for (;;) {
    const read = (await source.next()) as IteratorResult<Uint8Array, void>;
    if (read.done) return;
    left -= read.value.byteLength;
    if (left < 0) throw new Error("body beyond its limit");
    yield read.value;
  }
}

function tooLarge<T>(limit: number): neverthrow.Result<T, BodyFailure> {
  return neverthrow.err({ kind: "too-large", limit });
}
