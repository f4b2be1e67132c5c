import * as traffic from "@geraniumkeel/traffic";
import * as callerRequest from "./caller_request.ts";
import * as runnerTracker from "./runner_tracker.ts";

/** How an attempt at one runner ended. */
export enum AttemptOutcomeKind {
  /** The caller has the whole answer. */
  Answered = "answered",
  /** Certainly not run. */
  NotRun = "not-run",
  /** It ran and failed, by the runner's own word. */
  Failed = "failed",
  /** It may have run; nothing of it reached the caller. */
  Unknown = "unknown",
  /** The answer broke off after some of it had reached the caller. */
  Truncated = "broken",
  /** Time ran out. */
  TimedOut = "timed-out",
  /** The runner did not get on and was given up. */
  Stalled = "stalled",
  /** The caller has left. */
  CallerDisconnected = "left",
  /** It is in quarantine, and is sent to no runner. */
  Quarantined = "quarantined",
}

/** End of an attempt, with what is told to the caller if it was the last. */
export interface AttemptOutcome {
  kind: AttemptOutcomeKind;
  reason: string;
  /** The runner's own answer, where it failed. */
  failure?: { head: callerRequest.AnswerHead; body: Buffer };
}

/** End of an attempt whose request ran out of time. */
export const TIMED_OUT: AttemptOutcome = {
  kind: AttemptOutcomeKind.TimedOut,
  reason: "time ran out",
};

/** End of an attempt whose request was put in quarantine. */
export const QUARANTINED: AttemptOutcome = {
  kind: AttemptOutcomeKind.Quarantined,
  reason: "in quarantine: runners ended while they ran this request",
};

/**
 * Why this side ended a request, if it did: its caller has left, or `cut` was aborted
 * with an end.
 */
export function cancelledOutcome(
  disconnected: AbortSignal,
  cancel: AbortSignal,
): AttemptOutcome | undefined {
  if (disconnected.aborted)
    return {
      kind: AttemptOutcomeKind.CallerDisconnected,
      reason: "caller left",
    };
  return cancel.aborted ? (cancel.reason as AttemptOutcome) : undefined;
}

/** What the log says of an attempt. */
export interface AttemptSummary {
  runner: string;
  end: AttemptOutcomeKind;
  reason: string;
  milliseconds: number;
}

/**
 * Whether another runner may be tried after an attempt, when `runs` attempts ran or
 * may have.
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
      return idempotent && runs < route.mostAttempts;
    case AttemptOutcomeKind.Answered:
    case AttemptOutcomeKind.TimedOut:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
      return false;
  }
}

/**
 * What a caller is told that gets no answer. After a run, or one that may have been,
 * nothing is "not run" any more; before one it is, also where time ran out in
 * waiting for a runner.
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

/** Whether an attempt ended in a way in which it also ends when its runner does. */
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
      // Many do when runners have too much to do, and go on.
      return runnerIsUnresponsive;
    case AttemptOutcomeKind.Answered:
    case AttemptOutcomeKind.NotRun:
    case AttemptOutcomeKind.Failed:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
      return false;
  }
}

/** What an attempt tells of its runner. */
export function callOutcomeOf(
  kind: AttemptOutcomeKind,
): runnerTracker.CallOutcome {
  switch (kind) {
    case AttemptOutcomeKind.Answered:
      return runnerTracker.CallOutcome.Success;
    case AttemptOutcomeKind.NotRun:
    case AttemptOutcomeKind.CallerDisconnected:
    case AttemptOutcomeKind.Quarantined:
      return runnerTracker.CallOutcome.Neutral;
    case AttemptOutcomeKind.Failed:
    case AttemptOutcomeKind.Unknown:
    case AttemptOutcomeKind.Truncated:
    case AttemptOutcomeKind.Stalled:
    case AttemptOutcomeKind.TimedOut:
      return runnerTracker.CallOutcome.Failure;
  }
}
