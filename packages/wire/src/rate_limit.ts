import type * as messageKind from "./message_kind.ts";

/** What an entry knows of the request rate limit of one runner. */
export interface ReportedRateLimit {
  /** Incarnation of the runner. */
  life: string;
  runner: string;
  service: string;
  /** Requests a second; -1 if the runner named no limit. */
  perSecond: number;
  /** Milliseconds since the answered request was sent, at the time of telling. */
  sentAge: number;
  /** Milliseconds since the head of the answer arrived. */
  receivedAge: number;
  /** Entry that allocates the sender's share; empty for none. */
  allocator: string;
}

/** What an entry tells the others of rate limits. */
export interface RateLimitReports {
  kind: messageKind.MessageKind.RateLimitReports;
  limits: ReportedRateLimit[];
}

/** Asks the allocator of a runner's rate limit whether a request may be sent. */
export interface RateLimitRequest {
  kind: messageKind.MessageKind.RateLimitRequest;
  question: number;
  life: string;
  /** Longest time that the request can wait, in milliseconds. */
  maxDelay: number;
}

/** Answers a `RateLimitRequest`. */
export interface RateLimitAnswer {
  kind: messageKind.MessageKind.RateLimitAnswer;
  question: number;
  /** Milliseconds after which the request may be sent; -1 if it may not. */
  delay: number;
  /** Milliseconds until asking again makes sense, if it may not. */
  wait: number;
}
