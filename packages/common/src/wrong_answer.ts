/** How an HTTP answer differs from one that can be used. */
export enum WrongAnswerKind {
  /** Bytes that are no HTTP answer. */
  Malformed = "malformed",
  /** Neither HTTP/1.1 nor HTTP/1.0. */
  Version = "version",
  /** No status of a final answer. */
  Status = "status",
  /** A switch of protocols that the request did not ask for. */
  Upgrade = "upgrade",
  /** Too many heads before the final one. */
  InterimHeads = "interim-heads",
  /** A body over its limit, in bytes or in pieces. */
  TooLong = "too-long",
  /** It names another request. */
  OtherRequest = "other-request",
}

/** What is wrong with an answer. */
export interface WrongAnswer {
  kind: WrongAnswerKind;
  /** What was seen, for people. */
  detail: string;
}

/** One line about a wrong answer, for logs. */
export function describeWrongAnswer({ kind, detail }: WrongAnswer): string {
  return `wrong answer, ${kind}: ${detail}`;
}
