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
const KEPT_BYTES = 16;

/**
 * Name of a request by what it asks for, 22 characters. It holds the account, so that
 * nobody can have requests of another account taken for bad ones.
 */
export function fingerprintOf(identity: RequestIdentity): string {
  const { account, method, host, target, body } = identity;
  const head = JSON.stringify([account, method, host, target]);
  const hash = crypto.createHash("sha256").update(`${head}\n`).update(body);
  return hash.digest().subarray(0, KEPT_BYTES).toString("base64url");
}

/** A fingerprint that is worked out when it is first asked for. */
export class LazyFingerprint {
  #value: string | undefined;

  constructor(readonly identity: () => RequestIdentity) {}

  /** The fingerprint. */
  get value(): string {
    this.#value ??= fingerprintOf(this.identity());
    return this.#value;
  }
}
