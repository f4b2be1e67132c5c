import * as crypto from "node:crypto";

/** What makes two requests the same, whatever their callers name them. */
export interface RequestIdentity {
  /** Account of the caller; empty where none is asked for. */
  account: string;
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  body: Uint8Array;
}

/** Bytes of a hash that are kept: no caller can find two requests that share them. */
const FINGERPRINT_BYTES = 16;

/**
 * Name of a request by what it asks for, 22 characters. It holds the account, so that
 * nobody can have requests of another account taken for bad ones.
 */
export function fingerprintOf(identity: RequestIdentity): string {
  return digestOf(startHash(identity));
}

/**
 * A fingerprint that is worked out when it is first asked for: nothing asks while no
 * runner ends.
 */
export class LazyFingerprint {
  #value: string | undefined;
  #hash: crypto.Hash | undefined;

  constructor(readonly identity: RequestIdentity) {}

  /** The fingerprint; of a body that is followed, all that has come of it so far. */
  get value(): string {
    this.#value ??= digestOf(this.#hash ?? startHash(this.identity));
    return this.#value;
  }

  /** Counts the rest of a body in, as it passes; `identity` has its beginning. */
  async *hashRest(
    rest: AsyncIterator<Uint8Array>,
  ): AsyncGenerator<Uint8Array, void, void> {
    const hash = startHash(this.identity);
    this.#hash = hash;
    for (;;) {
      const read = await rest.next();
      if (read.done) return;
      if (this.#value === undefined) hash.update(read.value);
      yield read.value;
    }
  }
}

function startHash(identity: RequestIdentity): crypto.Hash {
  const { account, method, host, target, body } = identity;
  const head = JSON.stringify([account, method, host, target]);
  return crypto.createHash("sha256").update(`${head}\n`).update(body);
}

function digestOf(hash: crypto.Hash): string {
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString("base64url");
}
