import * as common from "@geraniumkeel/common";
import type * as undici from "undici";

/**
 * Header in which an engine or plain service names the requests a second that
 * it takes, as a decimal number.
 */
export const RATE_LIMIT_HEADER = "requests-per-second";
const RETRY_AFTER_HEADER = "retry-after";

/** What the head of an answer says about the back end itself. */
export interface AnswerNotice {
  status: number;
  /** Value of the rate limit header; `undefined` without one. */
  rateLimit: string | undefined;
  /** Value of `Retry-After`; `undefined` without one. */
  retryAfter: string | undefined;
  /** When the answered request was sent. */
  sentAt: common.Instant;
}

/** Reads the notice from the head of an answer. */
export function answerNotice(
  { statusCode, headers }: undici.Dispatcher.ResponseData,
  sentAt: common.Instant,
): AnswerNotice {
  return {
    status: statusCode,
    rateLimit: oneText(headers[RATE_LIMIT_HEADER]),
    retryAfter: oneText(headers[RETRY_AFTER_HEADER]),
    sentAt,
  };
}

/** One text for a header that may have been sent more than once. */
function oneText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(", ") : value;
}
