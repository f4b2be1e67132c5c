/** Who or what ended a caller's connection. */
export enum ConnectionEndKind {
  /** The caller closed or reset it. */
  CallerLeft = "caller-left",
  /** An answer told the caller that it is the last one on the connection. */
  LastAnswer = "last-answer",
  /** No request came within the idle timeout. */
  IdleTimeout = "idle-timeout",
  /** The head of a request was not complete within its timeout. */
  HeaderTimeout = "header-timeout",
  /** The caller sent bytes that are no request. */
  MalformedRequest = "malformed-request",
  /** There were too many connections, and it had no request. */
  TooManyConnections = "too-many-connections",
  /** Requests that wait on it took too much memory. */
  TooManyRequests = "too-many-requests",
  /** An answer that had begun could not be completed. */
  AnswerBrokenOff = "answer-broken-off",
  /** The caller took nothing of an answer for too long. */
  CallerStalled = "caller-stalled",
  /** The process stops as planned. */
  Stop = "stop",
  /** The process ended while the connection was open. */
  ProcessExit = "process-exit",
  /** This process closed it without a reason. */
  Unexplained = "unexplained",
}

/** Why a caller's connection ended. */
export interface ConnectionEnd {
  kind: ConnectionEndKind;
  /** What led to it, for people; empty if the kind says all. */
  reason: string;
}

/**
 * Whether an end is the usual one of a connection on which all was answered, and
 * needs no line in the log then.
 */
export function isOrdinary(kind: ConnectionEndKind): boolean {
  switch (kind) {
    case ConnectionEndKind.CallerLeft:
    case ConnectionEndKind.LastAnswer:
      return true;
    case ConnectionEndKind.IdleTimeout:
    case ConnectionEndKind.HeaderTimeout:
    case ConnectionEndKind.MalformedRequest:
    case ConnectionEndKind.TooManyConnections:
    case ConnectionEndKind.TooManyRequests:
    case ConnectionEndKind.AnswerBrokenOff:
    case ConnectionEndKind.CallerStalled:
    case ConnectionEndKind.Stop:
    case ConnectionEndKind.ProcessExit:
    case ConnectionEndKind.Unexplained:
      return false;
  }
}
