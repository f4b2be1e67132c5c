import * as crypto from "node:crypto";

/** SHA-256 of an access key as 64 hexadecimal digits; the only form configured. */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex");
}

/**
 * Compares in time that does not depend on where the texts differ, so that a
 * caller cannot find a key digit by digit.
 */
export function equalInConstantTime(left: string, right: string): boolean {
  const leftDigest = crypto.createHash("sha256").update(left).digest();
  const rightDigest = crypto.createHash("sha256").update(right).digest();
  return crypto.timingSafeEqual(leftDigest, rightDigest);
}

/** The token of an `Authorization: Bearer` header, if there is one. */
export function bearerToken(header: string | undefined): string | undefined {
  return /^Bearer +(\S+)$/i.exec(header ?? "")?.[1];
}

/** A random 128-bit identifier as 32 hexadecimal digits. */
export function randomIdentifier(): string {
  return crypto.randomBytes(16).toString("hex");
}
