import type * as common from "@geraniumkeel/common";
import type * as neverthrow from "neverthrow";
import type * as traffic from "@geraniumkeel/traffic";
import type * as callerRequest from "./caller_request.ts";

/** What a runner receives with a caller's request. */
export interface RunnerCall {
  request: callerRequest.CallerRequest;
  runner: traffic.RunnerEntry;
  /** Time left for the request. */
  millisecondsLeft: number;
  /** Account of the caller; empty if the request needed no key. */
  account: string;
  urgency: number;
  /**
   * Number of the event after which a stream continues; empty to start from the
   * beginning.
   */
  resumeAfter: string;
  /** Aborts the call; the runner then drops the request. */
  signal: AbortSignal;
}

/** What a runner's answer says about the request. */
export enum Verdict {
  /** The runner ran the request successfully, or is running it. */
  Ran = "ran",
  /** The runner ran the request, and it failed. */
  Failed = "failed",
  /**
   * The runner certainly did not run the request: it had no room or is leaving.
   */
  NotRun = "not-run",
  /** Another runner now has the address; the request was not run. */
  WrongRunner = "wrong-runner",
}

/** Head of a runner's answer, with the body still to be read. */
export interface RunnerAnswer {
  verdict: Verdict;
  head: callerRequest.AnswerHead;
  /**
   * Whether a signature proves that the answer comes from the runner. Only then
   * does it count as a success.
   */
  signed: boolean;
  /**
   * The body as it arrives. Throws a `TruncatedBody` if the connection ends
   * before the body does.
   */
  body: AsyncIterable<Buffer>;
}

/** A body that ended early. */
export class TruncatedBody extends Error {}

/** Whether a request may have run although its call failed. */
export enum CallFailureKind {
  /** No connection was made, so nothing was sent. */
  NotSent = "not-sent",
  /**
   * There was no answer, or none that can be trusted; the request may have run.
   */
  Unknown = "unknown",
}

/** A call that got no answer. */
export interface CallFailure {
  kind: CallFailureKind;
  reason: string;
}

/** Sends requests to runners. */
export interface RunnerClient {
  call(call: RunnerCall): Promise<neverthrow.Result<RunnerAnswer, CallFailure>>;
  /**
   * Checks whether anything accepts connections at a runner's address, without
   * sending a request.
   */
  presenceOf(runner: traffic.RunnerEntry): Promise<common.Presence>;
}
