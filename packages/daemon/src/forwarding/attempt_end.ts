import * as traffic from "@geraniumkeel/traffic";
import * as forwardRequest from "./forward_request.ts";
import * as runnerBoard from "./runner_board.ts";

/** How an attempt at one runner ended. */
export enum AttemptKind {
  /** The caller has the whole answer. */
  Answered = "answered",
  /** Certainly not run. */
  NotRun = "not-run",
  /** It ran and failed, by the runner's own word. */
  Failed = "failed",
  /** It may have run; nothing of it reached the caller. */
  Unknown = "unknown",
  /** The answer broke off after some of it had reached the caller. */
  Broken = "broken",
  /** Time ran out. */
  TimedOut = "timed-out",
  /** The runner did not get on and was given up. */
  Stalled = "stalled",
  /** The caller has left. */
  Left = "left",
  /** It is in quarantine, and is sent to no runner. */
  Quarantined = "quarantined",
}

/** End of an attempt, with what is told to the caller if it was the last. */
export interface AttemptEnd {
  kind: AttemptKind;
  reason: string;
  /** The runner's own answer, where it failed. */
  failure?: { head: forwardRequest.AnswerHead; body: Buffer };
}

/** End of an attempt whose request ran out of time. */
export const TIMED_OUT: AttemptEnd = {
  kind: AttemptKind.TimedOut,
  reason: "time ran out",
};

/** End of an attempt whose request was put in quarantine. */
export const QUARANTINED: AttemptEnd = {
  kind: AttemptKind.Quarantined,
  reason: "in quarantine: runners ended while they ran this request",
};

/**
 * Why this side ended a request, if it did: its caller has left, or `cut` was aborted
 * with an end.
 */
export function endOfCut(
  left: AbortSignal,
  cut: AbortSignal,
): AttemptEnd | undefined {
  if (left.aborted) return { kind: AttemptKind.Left, reason: "caller left" };
  return cut.aborted ? (cut.reason as AttemptEnd) : undefined;
}

/** What the log says of an attempt. */
export interface AttemptNote {
  runner: string;
  end: AttemptKind;
  reason: string;
  milliseconds: number;
}

/**
 * Whether another runner may be tried after an attempt, when `runs` attempts ran or
 * may have.
 */
export function mayRepeat(
  end: AttemptEnd,
  route: traffic.Route,
  runs: number,
): boolean {
  const idempotent = route.repeatability === traffic.Repeatability.Idempotent;
  switch (end.kind) {
    case AttemptKind.NotRun:
      return true;
    case AttemptKind.Failed:
    case AttemptKind.Unknown:
    case AttemptKind.Broken:
    case AttemptKind.Stalled:
      return idempotent && runs < route.mostAttempts;
    case AttemptKind.Answered:
    case AttemptKind.TimedOut:
    case AttemptKind.Left:
    case AttemptKind.Quarantined:
      return false;
  }
}

/**
 * What a caller is told that gets no answer. After a run, or one that may have been,
 * nothing is "not run" any more; before one it is, also where time ran out in
 * waiting for a runner.
 */
export function refusalKind(
  end: AttemptEnd,
  runs: number,
): forwardRequest.RefusalKind {
  if (runs === 0) return forwardRequest.RefusalKind.NotRun;
  return end.kind === AttemptKind.TimedOut
    ? forwardRequest.RefusalKind.TimedOut
    : forwardRequest.RefusalKind.MayHaveRun;
}

/** Whether an attempt ended in a way in which it also ends when its runner does. */
export function brokeOff(kind: AttemptKind, runnerIsSilent: boolean): boolean {
  switch (kind) {
    case AttemptKind.Unknown:
    case AttemptKind.Broken:
    case AttemptKind.Stalled:
      return true;
    case AttemptKind.TimedOut:
      // Many do when runners have too much to do, and go on.
      return runnerIsSilent;
    case AttemptKind.Answered:
    case AttemptKind.NotRun:
    case AttemptKind.Failed:
    case AttemptKind.Left:
    case AttemptKind.Quarantined:
      return false;
  }
}

/** What an attempt tells of its runner. */
export function soundnessOf(kind: AttemptKind): runnerBoard.CallEnd {
  switch (kind) {
    case AttemptKind.Answered:
      return runnerBoard.CallEnd.Good;
    case AttemptKind.NotRun:
    case AttemptKind.Left:
    case AttemptKind.Quarantined:
      return runnerBoard.CallEnd.Neutral;
    case AttemptKind.Failed:
    case AttemptKind.Unknown:
    case AttemptKind.Broken:
    case AttemptKind.Stalled:
    case AttemptKind.TimedOut:
      return runnerBoard.CallEnd.Bad;
  }
}
