import * as crypto from "node:crypto";

/**
 * The parts of a request that decide whether two requests count as the same.
 * The identifiers that callers give their requests are not among them.
 */
export interface RequestIdentity {
  /** Account of the caller; empty if none is required. */
  account: string;
  method: string;
  /**
   * Host that the caller addressed, not the machine of an entry; empty if it is
   * to make no difference.
   */
  host: string;
  /** Path and query. */
  target: string;
  /**
   * The complete body, or its beginning if `LazyFingerprint.hashRest` passes on
   * the rest.
   */
  body: Uint8Array;
}

/**
 * Bytes of the hash that a fingerprint contains. With so many no caller can
 * find two requests that have the same fingerprint.
 */
const FINGERPRINT_BYTES = 16;

/**
 * Returns the fingerprint of a request, 22 characters that depend on its
 * content. The account is part of the content, so that no caller can get
 * requests of another account quarantined.
 */
export function fingerprintOf(identity: RequestIdentity): string {
  return digestOf(startHash(identity));
}

/**
 * A fingerprint that is computed at its first use. While no run is interrupted
 * and no crash is recorded, nothing uses the fingerprint, so a request whose
 * body is complete costs no hashing. A body that `hashRest` passes on is hashed
 * as it arrives.
 */
export class LazyFingerprint {
  #value: string | undefined;
  #hash: crypto.Hash | undefined;

  constructor(readonly identity: RequestIdentity) {}

  /**
   * The fingerprint. If `hashRest` passes on a body, the fingerprint covers the
   * part of the body that had arrived at the first use of `value`. So two equal
   * requests have different fingerprints if the first uses come at different
   * points of the body. While any request for a service is in quarantine, an
   * entry therefore reads a body completely before it sends the request.
   */
  get value(): string {
    this.#value ??= digestOf(this.#hash ?? startHash(this.identity));
    return this.#value;
  }

  /**
   * Passes on the rest of a body and hashes it; `identity.body` is the
   * beginning of the body. What arrives after the first use of `value` is
   * passed on without being hashed.
   */
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
