import type * as http from "node:http";
import * as common from "@geraniumkeel/common";
import * as neverthrow from "neverthrow";
import * as bodyStorage from "./body_storage.ts";
import * as readBody from "./read_body.ts";

/** A body read so far, and what follows of it. */
export interface BodyBeginning {
  beginning: Buffer;
  /** The rest as it arrives; `undefined` when this is the whole body. */
  rest: AsyncIterator<Uint8Array> | undefined;
  /** Gives the memory for the beginning back. */
  release: () => void;
}

/**
 * Reads the beginning of a body. What is larger than `buffered` is passed on as
 * it arrives, so that a large body does not stand whole in memory; the limit
 * holds for all of it, and a body beyond it breaks off.
 */
export async function readBeginning(
  request: http.IncomingMessage,
  buffered: number,
  terms: readBody.BodyTerms,
): Promise<neverthrow.Result<BodyBeginning, readBody.BodyFailure>> {
  const isGivenUp = new AbortController();
  const { memory } = terms.resources;
  const reservation = memory.open(() => isGivenUp.abort());
  const beginning = await collect(request, buffered, terms, (bytes) =>
    isGivenUp.signal.aborted ? false : reservation.grow(bytes),
  );
  if (beginning.isErr()) {
    reservation.release();
    return neverthrow.err(beginning.error);
  }
  if (isGivenUp.signal.aborted) return neverthrow.err({ kind: "no-memory" });
  reservation.complete();
  const release = () => reservation.release();
  return neverthrow.ok({ ...beginning.value, release });
}

/** Collects a beginning; `reserve` takes memory for so many bytes, if there is room. */
async function collect(
  request: http.IncomingMessage,
  buffered: number,
  { limit, timeoutMilliseconds }: readBody.BodyTerms,
  reserve: (bytes: number) => boolean,
): Promise<
  neverthrow.Result<Omit<BodyBeginning, "release">, readBody.BodyFailure>
> {
  const deadline = common.now() + timeoutMilliseconds;
  const announced = readBody.announcedLength(request);
  if (announced !== undefined && announced > limit) return tooLarge(limit);
  const storage = new bodyStorage.BodyStorage(undefined, limit);
  const source = request[Symbol.asyncIterator]();
  try {
    while (storage.size <= buffered) {
      const next = source.next() as Promise<IteratorResult<Buffer, void>>;
      const read = await common.withTimeout(next, deadline - common.now());
      if (!read) return neverthrow.err({ kind: "too-slow" });
      if (read.done) {
        return neverthrow.ok({ beginning: storage.content, rest: undefined });
      }
      const { length } = read.value;
      if (storage.size + length > limit) return tooLarge(limit);
      if (!reserve(storage.capacityFor(length)))
        return neverthrow.err({ kind: "no-memory" });
      storage.add(read.value);
    }
  } catch {
    return neverthrow.err({ kind: "broken" });
  }
  const rest = limited(source, limit - storage.size);
  return neverthrow.ok({ beginning: storage.content, rest });
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

function tooLarge<T>(
  limit: number,
): neverthrow.Result<T, readBody.BodyFailure> {
  return neverthrow.err({ kind: "too-large", limit });
}
