import type * as common from "@geraniumkeel/common";

/**
 * Header in which an engine or plain service names the requests a second that
 * it takes, as a decimal number.
 */
export const RATE_LIMIT_HEADER = "requests-per-second";

/** What an answer said about the request rate limit of the back end. */
export interface RateLimitNotice {
  /** Value of the header; `undefined` without one. */
  value: string | undefined;
  /** When the answered request was sent. */
  sentAt: common.Instant;
}

/** One text for a header that may have been sent more than once. */
export function rateLimitValue(
  headers: Record<string, string | string[] | undefined>,
): string | undefined {
  const value = headers[RATE_LIMIT_HEADER];
  return Array.isArray(value) ? value.join(", ") : value;
}
