/** Decimal number without a sign or an exponent. */
const DECIMAL = /^\d{1,12}(\.\d{1,12})?$/;

/** What an answer says about the request rate limit of its runner. */
export type RateLimitReading =
  /** The answer has no such header. */
  | { kind: "absent" }
  /** Requests a second that the runner takes from all entries together. */
  | { kind: "named"; perSecond: number }
  /** The header's value is no such number. */
  | { kind: "unreadable"; text: string };

/** Longest part of an unreadable value that is kept for the log. */
const MAX_KEPT_CHARACTERS = 40;

/**
 * Reads the header in which a runner names its request rate limit. A header
 * that was sent twice arrives as one value with a comma, and is unreadable.
 */
export function readRateLimit(value: string | undefined): RateLimitReading {
  if (value === undefined) return { kind: "absent" };
  const text = value.trim();
  if (!DECIMAL.test(text)) {
    return { kind: "unreadable", text: text.slice(0, MAX_KEPT_CHARACTERS) };
  }
  return { kind: "named", perSecond: Number(text) };
}
