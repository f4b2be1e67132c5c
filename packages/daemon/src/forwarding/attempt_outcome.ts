import * as traffic from "@geraniumkeel/traffic";
import type * as answerBuffers from "./answer_buffers.ts";
import * as callerRequest from "./caller_request.ts";
import * as runnerTracker from "./runner_tracker.ts";

/** How an attempt at one runner finished. */
export enum AttemptOutcomeKind {
  /** The caller has received the complete answer. */
  Answered = "answered",
  /** The runner certainly did not run the request. */
  NotRun = "not-run",
  /** The runner ran the request and reported that it failed. */
  Failed = "failed",
  /** The request may have run; the caller has received nothing of an answer. */
  Unknown = "unknown",
  /** The answer stopped early, after the caller had received part of it. */
  Truncated = "broken",
  /** The request ran out of time. */
  TimedOut = "timed-out",
  /** The runner made no progress, and another attempt got on instead. */
  Stalled = "stalled",
  /**
   * Another attempt got on before this one, whose runner was not silent for
   * long.
   */
  Superseded = "superseded",
  /** The caller disconnected. */
  CallerDisconnected = "left",
  /** The request, or a part of its prompt, is quarantined: no runner gets it. */
  Quarantined = "quarantined",
  /** This process stops before the request could be answered. */
  Stopped = "stopped",
}

/**
 * Outcome of an attempt. If it is the last one, the caller gets its failure or
 * reason.
 */
export interface AttemptOutcome {
  kind: AttemptOutcomeKind;
  reason: string;
  /**
   * The runner's own answer, if the runner reported a failure. Its body may be given
   * up for other answers.
   */
  failure?: {
    head: callerRequest.AnswerHead;
    body: answerBuffers.AnswerBuffer;
  };
}

/** Outcome of an attempt whose request ran out of time. */
export const TIMED_OUT: AttemptOutcome = {
  kind: AttemptOutcomeKind.TimedOut,
  reason: "time ran out",
};

/** Outcome of a request that no runner may get. */
export const NO_RUNNER: AttemptOutcome = {
  kind: AttemptOutcomeKind.NotRun,
  reason: "no runner",
};

/** Outcome of a request that would wait too long for a rate limit. */
export const AT_RATE_LIMIT: AttemptOutcome = {
  kind: AttemptOutcomeKind.NotRun,
  reason: "runners are at their rate limits",
};

/** Outcome of an attempt whose request, or a part of its prompt, is quarantined. */
export const QUARANTINED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Quarantined,
  reason:
    "in quarantine: runners ended while they ran this request, or others with a part of its prompt",
};

/** Outcome of a request whose caller does not wait for the answer. */
export const CALLER_DISCONNECTED: AttemptOutcome = {
  kind: AttemptOutcomeKind.CallerDisconnected,
  reason: "caller left",
};

/** Outcome of a request that this process can't finish, as it stops. */
export const STOPPED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Stopped,
  reason: "this entry is stopping",
};

/** Outcome of an attempt that failed with an exception. */
export const INTERRUPTED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Unknown,
  reason: "internal error",
};

/** Outcome of an attempt without progress, when another one got on. */
export const STALLED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Stalled,
  reason: "did not get on",
};

/** Outcome of an attempt that was not silent, when another one got on. */
export const SUPERSEDED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Superseded,
  reason: "another attempt got on",
};

/**
 * Returns the outcome if this entry cancelled the attempt, else `undefined`. It
 * does so when the caller disconnects (`disconnected`), and when the request
 * aborts `cancel`, with the outcome as the signal's reason.
 */
export function cancelledOutcome(
  disconnected: AbortSignal,
  cancel: AbortSignal,
): AttemptOutcome | undefined {
  if (disconnected.aborted) return CALLER_DISCONNECTED;
  return cancel.aborted ? (cancel.reason as AttemptOutcome) : undefined;
}

/** What the log says about an attempt. */
export interface AttemptSummary {
  runner: string;
  /** Kind of the attempt's outcome. */
  end: AttemptOutcomeKind;
  reason: string;
  /** When the attempt was sent, in milliseconds after the request arrived. */
  sentAfter: number;
  milliseconds: number;
}

/**
 * Whether another runner may be tried after an attempt with this outcome, when
 * runners ran, or may have run, `runs` attempts.
 */
export function mayRetry(
  outcome: AttemptOutcome,
  route: traffic.Route,
  runs: number,
): boolean {
  const idempotent = route.repeatability === traffic.Repeatability.Idempotent;
  switch (outcome.kind) {
    case AttemptOutcomeKind.NotRun:
      return true;
    case AttemptOutcomeKind.Failed:
    case AttemptOutcomeKind.Unknown:
    case AttemptOutcomeKind.Truncated:
    case AttemptOutcomeKind.Stalled:
    case AttemptOutcomeKind.Superseded:
      return idempotent && runs < route.mostAttempts;
    case AttemptOutcomeKind.Answered:
    case AttemptOutcomeKind.TimedOut:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
    case AttemptOutcomeKind.Stopped:
      return false;
  }
}

/**
 * Kind of refusal for a caller that gets no answer. If none of the attempts ran
 * or may have run, the caller learns that the request did not run, even if time
 * ran out while the request waited for a runner. Otherwise the refusal must not
 * say so.
 */
export function refusalKind(
  outcome: AttemptOutcome,
  runs: number,
): callerRequest.RefusalKind {
  if (runs === 0) return callerRequest.RefusalKind.NotRun;
  return outcome.kind === AttemptOutcomeKind.TimedOut
    ? callerRequest.RefusalKind.TimedOut
    : callerRequest.RefusalKind.MayHaveRun;
}

/** Whether a crash of the runner may have caused this outcome. */
export function mayBeCrash(
  kind: AttemptOutcomeKind,
  runnerIsUnresponsive: boolean,
): boolean {
  switch (kind) {
    case AttemptOutcomeKind.Unknown:
    case AttemptOutcomeKind.Truncated:
    case AttemptOutcomeKind.Stalled:
      return true;
    case AttemptOutcomeKind.TimedOut:
      // Requests also time out at overloaded runners, which keep sending
      // messages.
      return runnerIsUnresponsive;
    case AttemptOutcomeKind.Answered:
    case AttemptOutcomeKind.NotRun:
    case AttemptOutcomeKind.Failed:
    case AttemptOutcomeKind.Superseded:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
    case AttemptOutcomeKind.Stopped:
      return false;
  }
}

/** What an attempt's outcome says about the health of its runner. */
export function callOutcomeOf(
  kind: AttemptOutcomeKind,
): runnerTracker.CallOutcome {
  switch (kind) {
    case AttemptOutcomeKind.Answered:
      return runnerTracker.CallOutcome.Success;
    case AttemptOutcomeKind.NotRun:
    case AttemptOutcomeKind.Superseded:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
    case AttemptOutcomeKind.Stopped:
      return runnerTracker.CallOutcome.Neutral;
    case AttemptOutcomeKind.Failed:
    case AttemptOutcomeKind.Unknown:
    case AttemptOutcomeKind.Truncated:
    case AttemptOutcomeKind.Stalled:
    case AttemptOutcomeKind.TimedOut:
      return runnerTracker.CallOutcome.Failure;
  }
}
