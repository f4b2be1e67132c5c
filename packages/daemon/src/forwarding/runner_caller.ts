import type * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import type * as traffic from "@geraniumkeel/traffic";
import type * as callerRequest from "./caller_request.ts";

/** What is told to a runner beside the caller's own request. */
export interface RunnerCall {
  request: callerRequest.CallerRequest;
  runner: traffic.RunnerEntry;
  /** Time left for the request. */
  millisecondsLeft: number;
  /** Account of the caller; empty if the request needed no key. */
  account: string;
  urgency: number;
  /** Event after which a stream is to go on; empty for the beginning. */
  resumeAfter: string;
  /** Ends the call; the runner then drops the request. */
  signal: AbortSignal;
}

/** What a runner's answer says of the request. */
export enum Verdict {
  /** The runner ran it to a good end, or is doing so. */
  Ran = "ran",
  /** The runner ran it and it failed. */
  Failed = "failed",
  /** The runner certainly did not run it: it had no room or is leaving. */
  NotRun = "not-run",
  /** Another runner has the address now; it was not run. */
  WrongRunner = "wrong-runner",
}

/** A runner's answer, its body still to come. */
export interface RunnerAnswer {
  verdict: Verdict;
  head: callerRequest.AnswerHead;
  /** Whether the answer's origin is proved, so that it counts as a success. */
  signed: boolean;
  /**
   * The body as it comes. It throws a `BrokenAnswer` if the connection ends
   * before the body does.
   */
  body: AsyncIterable<Buffer>;
}

/** A body that ended before its end. */
export class TruncatedBody extends Error {}

/** Whether a call that failed may have run. */
export enum CallFailureKind {
  /** No connection was made, so nothing was sent. */
  NotSent = "not-sent",
  /** No answer, or one that cannot be trusted; it may have run. */
  Unknown = "unknown",
}

/** A call without an answer. */
export interface CallFailure {
  kind: CallFailureKind;
  reason: string;
}

/** Sends requests to runners. */
export interface RunnerCaller {
  call(call: RunnerCall): Promise<neverthrow.Result<RunnerAnswer, CallFailure>>;
  /** Looks what is at a runner's address; the runner itself is asked nothing. */
  presenceOf(runner: traffic.RunnerEntry): Promise<common.Presence>;
}
